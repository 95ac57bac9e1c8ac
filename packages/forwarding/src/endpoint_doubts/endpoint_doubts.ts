/**
 * Endpoints whose entries may be of an incarnation that has ended.
 */
import {
  isOfSameIncarnation,
  REMOVED_ENTRY_RETENTION_MILLISECONDS,
  type EndpointEntry,
  type EndpointRegistry,
} from '@briarpin/coordination';

import type {ListenerIdentity} from '../endpoint_ends/endpoint_ends.js';

/**
 * Time between two findings on the same incarnation that may be one: reports repeat
 * each finding, with an age that is counted anew.
 */
const SAME_FINDING_MILLISECONDS = 300;

/** An incarnation that has ended or may have, as gateways report it. */
export interface EndpointDoubt extends Pick<
  EndpointEntry,
  'id' | 'startedAt' | 'softwareVersion' | 'sequence'
> {
  /** Time of the finding on the monotonic clock, in milliseconds. */
  readonly foundAt: number;
}

/** Options of {@link EndpointDoubts}. */
export interface EndpointDoubtsOptions {
  readonly endpoints: Pick<EndpointRegistry, 'find' | 'mayHaveOtherSoftware'>;
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  /** Asks which process listens at the address of an endpoint. */
  readonly identify: (endpoint: EndpointEntry) => Promise<ListenerIdentity>;
  /** Called for each finding of this gateway, to report it to the others. */
  readonly onDoubt: (doubt: EndpointDoubt) => void;
}

/**
 * Answers whether the software of an endpoint is known. Nothing may listen at its
 * address, or a stream may break; what answers there later may be another
 * incarnation, until an entry that was written after that is known: the store may
 * be away meanwhile.
 */
export class EndpointDoubts {
  private readonly doubts = new Map<string, EndpointDoubt>();
  /** Doubts whose endpoints are being asked; each is asked once at a time. */
  private readonly asked = new Map<string, EndpointDoubt>();

  /**
   * @param options - Newest entries, clock, and how to ask and report
   */
  constructor(private readonly options: EndpointDoubtsOptions) {}

  /** Records that nothing listened at the address of an endpoint. */
  recordRefusal(endpoint: EndpointEntry): void {
    const doubt = this.asked.get(endpoint.id) ?? this.addDoubt(endpoint);
    this.asked.delete(endpoint.id);
    if (doubt !== undefined) {
      this.options.onDoubt(doubt);
    }
  }

  /**
   * Records that an endpoint has broken a stream off, as it does also when its
   * process ends. The endpoint is in doubt until it says that it has not.
   *
   * @param endpoint - Entry of the endpoint when it was selected
   * @returns Resolves when the endpoint has answered, or does not
   */
  async recordBreak(endpoint: EndpointEntry): Promise<void> {
    const {id, startedAt} = endpoint;
    const doubt = this.addDoubt(endpoint);
    if (doubt === undefined) {
      return;
    }
    this.asked.set(id, doubt);
    const listener = await this.options.identify(endpoint);
    if (this.asked.get(id) !== doubt) {
      return;
    }
    this.asked.delete(id);
    const isSame =
      listener.startedAt !== undefined && listener.startedAt === startedAt;
    if (isSame) {
      this.doubts.delete(id);
    } else {
      this.options.onDoubt(doubt);
    }
  }

  /** Applies a finding that another gateway has reported. */
  applyReport(doubt: EndpointDoubt): void {
    const known = this.doubts.get(doubt.id);
    const isKnown =
      known !== undefined &&
      isOfSameIncarnation(known, doubt) &&
      doubt.foundAt - known.foundAt < SAME_FINDING_MILLISECONDS;
    if (isKnown) {
      return;
    }
    const current = this.options.endpoints.find(doubt.id);
    const sequence =
      current !== undefined && isOfSameIncarnation(current, doubt)
        ? Math.max(current.sequence ?? 0, doubt.sequence ?? 0)
        : doubt.sequence;
    this.set({...doubt, sequence});
  }

  /**
   * Returns whether an endpoint that answers now may be a later incarnation than
   * its entry says.
   */
  isInDoubt(endpoint: EndpointEntry): boolean {
    if (this.options.endpoints.mayHaveOtherSoftware(endpoint)) {
      return true;
    }
    const doubt = this.doubts.get(endpoint.id);
    if (doubt === undefined || !isOfSameIncarnation(doubt, endpoint)) {
      return false;
    }
    const current = this.options.endpoints.find(endpoint.id) ?? endpoint;
    return (current.sequence ?? 0) <= (doubt.sequence ?? 0);
  }

  /** Adds a doubt of this gateway, unless there is one already. */
  private addDoubt(endpoint: EndpointEntry): EndpointDoubt | undefined {
    const {id} = endpoint;
    const current = this.options.endpoints.find(id);
    const isCurrent =
      current !== undefined && isOfSameIncarnation(current, endpoint);
    if (!isCurrent || this.isInDoubt(current)) {
      return undefined;
    }
    const {startedAt, softwareVersion, sequence} = current;
    const foundAt = this.options.now();
    const doubt = {id, startedAt, softwareVersion, sequence, foundAt};
    this.set(doubt);
    return doubt;
  }

  private set(doubt: EndpointDoubt): void {
    this.forgetOld();
    this.doubts.set(doubt.id, doubt);
  }

  /** Forgets endpoints that have been gone for longer than their entries may. */
  private forgetOld(): void {
    const oldest = this.options.now() - REMOVED_ENTRY_RETENTION_MILLISECONDS;
    for (const [id, {foundAt}] of this.doubts) {
      if (foundAt < oldest && this.options.endpoints.find(id) === undefined) {
        this.doubts.delete(id);
      }
    }
  }
}
