/**
 * Work that organisations receive through this gateway and the others.
 */
import {RecentWork} from '@briarpin/scheduling';
import type {OrganisationWork} from '@briarpin/messages';

/** Maximum number of organisations in a report. */
const MAXIMUM_REPORTED_ORGANISATIONS = 32;

/** Maximum number of organisations whose work is counted, by gateway. */
const MAXIMUM_COUNTED_ORGANISATIONS = 1_024;

/**
 * Largest charge for one entry of a report. A larger difference comes from an
 * entry that was missing for a long time, and is not recent work.
 */
const MAXIMUM_CHARGE_TOKENS = 200_000;

/** Work of an organisation that another gateway has newly reported. */
export interface OrganisationCharge {
  readonly organisation: string;
  readonly tokens: number;
}

/** Report of another gateway. */
export interface OrganisationWorkReport {
  readonly gateway: string;
  /** Tokens since the start of its process. */
  readonly organisationWork: readonly OrganisationWork[];
  /** True for the first report of a process, and after a silence. */
  readonly isFirst: boolean;
}

/** Totals that another gateway has reported. */
interface ReportedTotals {
  readonly totals: Map<string, number>;
  /** True if its process has been known since it counted from 0. */
  readonly isComplete: boolean;
}

/**
 * Counts the prompt and output tokens that organisations receive, and turns the
 * counts of other gateways into charges.
 *
 * Reports contain totals since the start of the process, so that a lost report
 * loses no work.
 */
export class OrganisationWorkCounts {
  private readonly totals = new Map<string, number>();
  private readonly recentWork = new RecentWork();
  private readonly reportedByGateway = new Map<string, ReportedTotals>();

  /**
   * @param now - Returns the monotonic time, in milliseconds
   */
  constructor(private readonly now: () => number) {}

  /** Counts tokens that an organisation has received through this gateway. */
  add(organisation: string, tokens: number): void {
    setBounded(
      this.totals,
      organisation,
      (this.totals.get(organisation) ?? 0) + tokens,
    );
    this.recentWork.add(organisation, tokens, this.now());
  }

  /** Returns the counts of the organisations with the most recent work. */
  createReport(): OrganisationWork[] {
    return [...this.recentWork.sum(this.now())]
      .sort(([, left], [, right]) => right - left)
      .slice(0, MAXIMUM_REPORTED_ORGANISATIONS)
      .map(([organisation]) => ({
        organisation,
        tokens: Math.round(this.totals.get(organisation) ?? 0),
      }));
  }

  /**
   * Computes what organisations have received since the previous report of a
   * gateway.
   *
   * The first report of a gateway only sets the counts, because its process may
   * have counted for hours. For the same reason, the first report that names an
   * organisation only sets its count; organisations without recent work are not
   * named. A process that has restarted counts from 0.
   *
   * @param report - Report of another gateway
   * @returns Charges of more than 0 tokens
   */
  applyReport(report: OrganisationWorkReport): OrganisationCharge[] {
    const {gateway, organisationWork, isFirst} = report;
    const known = this.reportedByGateway.get(gateway);
    const reported =
      known === undefined || isFirst
        ? {totals: new Map<string, number>(), isComplete: known !== undefined}
        : known;
    this.reportedByGateway.set(gateway, reported);
    const {totals, isComplete} = reported;
    const charges: OrganisationCharge[] = [];
    for (const {organisation, tokens} of organisationWork) {
      const previous = totals.get(organisation) ?? (isComplete ? 0 : tokens);
      const received = tokens < previous ? tokens : tokens - previous;
      setBounded(totals, organisation, tokens);
      if (received > 0) {
        const charged = Math.min(MAXIMUM_CHARGE_TOKENS, received);
        charges.push({organisation, tokens: charged});
      }
    }
    return charges;
  }

  /** Forgets the counts of a gateway that no longer reports. */
  removeGateway(gateway: string): void {
    this.reportedByGateway.delete(gateway);
  }
}

/** Sets a total; the organisation that was first counted makes room. */
function setBounded(
  totals: Map<string, number>,
  organisation: string,
  tokens: number,
): void {
  const [oldest] = totals.keys();
  const isFull = totals.size >= MAXIMUM_COUNTED_ORGANISATIONS;
  if (isFull && oldest !== undefined && !totals.has(organisation)) {
    totals.delete(oldest);
  }
  totals.set(organisation, tokens);
}
