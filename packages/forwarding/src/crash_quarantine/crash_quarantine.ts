/**
 * Quarantine of requests that crash the endpoints which run them.
 */
import {
  SUSPICION_LIFETIME_MILLISECONDS,
  type EndpointEntry,
  type EndpointIncarnation,
  type EndpointRegistry,
  type SuspicionTable,
} from '@briarpin/coordination';
import type {SuspicionRecord} from '@briarpin/messages';
import type {ListenerState} from '@briarpin/platform';
import {
  computeTrialWaitMilliseconds,
  decideTrial,
  findCulprit,
  type SuspectHistory,
  type TrialState,
} from '@briarpin/scheduling';
import {runTask, type EventLogger} from '@briarpin/telemetry';

import {
  computeSuspectKeys,
  type SuspectKeys,
} from '../compute_suspect_keys/compute_suspect_keys.js';
import type {Exchange} from '../exchange/exchange.js';

/**
 * Crashes from which on requests with a suspect are refused. Every crash
 * interrupts a full batch of other requests, some of which are retried into the
 * next one.
 */
const REFUSAL_CRASH_COUNT = 3;

/** Beginning of the identifiers under which trials are recorded as crashes. */
const TRIAL_PREFIX = 'trial/';

/**
 * Time after an interrupted attempt in which the end of its endpoint counts as a
 * crash during it: an endpoint that is not heard of is removed within it.
 */
const CONFIRMATION_MILLISECONDS = 10_000;

/** The properties of a request by which it is recognised and logged. */
export type SuspectedRequest = Pick<
  Exchange,
  'fingerprint' | 'metadata' | 'signal'
>;

/** Options of {@link CrashQuarantine}. */
export interface CrashQuarantineOptions {
  /** Suspicions of all gateways. */
  readonly table: SuspicionTable;
  readonly endpoints: Pick<EndpointRegistry, 'find'>;
  /** Monotonic time, in milliseconds. */
  readonly now: () => number;
  readonly random: () => number;
  /** Name of this gateway. */
  readonly gateway: string;
  /** Milliseconds since the epoch. */
  readonly wallClockMilliseconds: () => number;
  /** Finds out whether a process listens at the address of an endpoint. */
  readonly probeListener: (endpoint: EndpointEntry) => Promise<ListenerState>;
  readonly logger: EventLogger;
  /** Called for each change that other gateways must receive. */
  readonly onSuspicion: (record: SuspicionRecord) => void;
}

interface InterruptedAttempt {
  readonly request: SuspectedRequest;
  readonly interruptedAt: number;
}

/**
 * Shortest time after which a refused request is told to come again: a run that
 * clears it takes about as long.
 */
const MINIMUM_RETRY_MILLISECONDS = 1_000;

/** Why a request is refused. */
export interface QuarantineRefusal {
  readonly reason: string;
  readonly retryAfterMilliseconds: number;
}

/**
 * Suspects the requests that an endpoint ran when it crashed, and the parts of
 * their prompts that other requests may have too. Refuses a request after several
 * crashes under it, or under requests with one of its parts, without a complete
 * run.
 *
 * An interrupted attempt alone is no suspicion, as endpoints also reset single
 * connections. It becomes one when the endpoint has ended without a shutdown
 * notice: nothing listens at its address, it has restarted, or its entry is
 * gone.
 */
export class CrashQuarantine {
  /** Interrupted attempts by incarnation whose endpoint may have crashed. */
  private readonly interrupted = new Map<string, InterruptedAttempt[]>();
  /** Incarnations that seem to have crashed, and when that was found. */
  private readonly crashed = new Map<string, number>();
  private readonly probedIncarnations = new Set<string>();
  /** Requests that run although they would be refused. */
  private readonly trials = new WeakSet<SuspectedRequest>();

  /**
   * @param options - Suspicions of all gateways, and how crashes are found
   */
  constructor(private readonly options: CrashQuarantineOptions) {}

  /**
   * Computes for how long a request is refused.
   *
   * @returns Milliseconds; 0 when it may run
   */
  computeRefusalMilliseconds(request: SuspectedRequest): number {
    return this.findCulprit(request) === undefined
      ? 0
      : SUSPICION_LIFETIME_MILLISECONDS;
  }

  /**
   * Decides on a request that has just arrived. A request may run as a trial
   * that shows whether a part of its prompt still crashes endpoints.
   *
   * @returns Why it is refused; undefined when it may run
   */
  admit(request: SuspectedRequest): QuarantineRefusal | undefined {
    const culprit = this.findCulprit(request);
    if (culprit === undefined || this.tryStartTrial(request, culprit)) {
      return undefined;
    }
    const isWhole = culprit.key === request.fingerprint();
    const what = isWhole
      ? 'this request'
      : 'requests with the same prompt part';
    return {
      reason: `several servers crashed while they ran ${what}`,
      retryAfterMilliseconds: this.computeRetryAfter(culprit, isWhole),
    };
  }

  /**
   * Computes when a refused request may be accepted: once a trial of the prompt
   * part can have cleared it, or when the suspicion expires.
   */
  private computeRetryAfter({key}: SuspectHistory, isWhole: boolean): number {
    const {table, wallClockMilliseconds} = this.options;
    const now = wallClockMilliseconds();
    const times = readTrialTimes(table.findCrashes(key, now));
    const trialWait = isWhole
      ? undefined
      : computeTrialWaitMilliseconds({...times, now});
    return Math.max(
      MINIMUM_RETRY_MILLISECONDS,
      trialWait ?? times.lastCrashAt + SUSPICION_LIFETIME_MILLISECONDS - now,
    );
  }

  /** Records an attempt that was sent and got no complete response. */
  recordInterrupted(request: SuspectedRequest, endpoint: EndpointEntry): void {
    this.evictExpired();
    this.trials.delete(request);
    const incarnation = toIncarnationName(endpoint);
    if (this.crashed.has(incarnation)) {
      this.suspect(incarnation, [request]);
      return;
    }
    if (!this.isReady(endpoint)) {
      return;
    }
    const attempts = this.interrupted.get(incarnation) ?? [];
    attempts.push({request, interruptedAt: this.options.now()});
    this.interrupted.set(incarnation, attempts);
    // An attempt that the caller or the deadline ended shows nothing yet.
    if (!request.signal.aborted) {
      runTask('crash_probe', this.options.logger, () => this.probe(endpoint));
    }
  }

  /** Records a request that an endpoint ran to its end with success. */
  recordCompleted(request: SuspectedRequest): void {
    if (this.options.table.size > 0) {
      const keys = computeSuspectKeys(request);
      this.clear([keys.request, ...keys.parts]);
    }
  }

  /**
   * Records a request that an endpoint answered with a failure. It may not have
   * begun to write an answer on the parts of the prompt.
   */
  recordFailureAnswer(request: SuspectedRequest): void {
    if (this.options.table.size > 0) {
      this.clear([request.fingerprint()]);
    }
  }

  /**
   * Records that an endpoint was found to have ended; a crash unless it had
   * announced its shutdown.
   */
  recordEnd(endpoint: EndpointEntry): void {
    if (this.isReady(endpoint)) {
      this.recordCrash(endpoint);
    }
  }

  /**
   * Records that an incarnation has ended without a shutdown notice, or seems to
   * have, as its entry is gone.
   */
  recordCrash(endpoint: EndpointIncarnation): void {
    const incarnation = toIncarnationName(endpoint);
    this.crashed.set(incarnation, this.options.now());
    const attempts = this.interrupted.get(incarnation) ?? [];
    this.interrupted.delete(incarnation);
    this.suspect(
      incarnation,
      attempts.map(({request}) => request),
    );
  }

  /** Records that an incarnation shuts down with a notice. */
  recordShutdown(endpoint: EndpointIncarnation): void {
    this.interrupted.delete(toIncarnationName(endpoint));
  }

  /** True while the registry lists this incarnation as ready. */
  private isReady(endpoint: EndpointEntry): boolean {
    const current = this.options.endpoints.find(endpoint.id);
    return (
      current?.state === 'ready' &&
      toIncarnationName(current) === toIncarnationName(endpoint)
    );
  }

  /** Probes an endpoint, unless a probe is in progress. */
  private async probe(endpoint: EndpointEntry): Promise<void> {
    const incarnation = toIncarnationName(endpoint);
    if (this.probedIncarnations.has(incarnation)) {
      return;
    }
    this.probedIncarnations.add(incarnation);
    const state = await this.options.probeListener(endpoint);
    this.probedIncarnations.delete(incarnation);
    if (state === 'not_listening' && this.interrupted.has(incarnation)) {
      this.recordCrash(endpoint);
    }
  }

  /** Finds the suspect for which a request is refused. */
  private findCulprit(request: SuspectedRequest): SuspectHistory | undefined {
    const {table, wallClockMilliseconds} = this.options;
    if (table.size === 0 || this.trials.has(request)) {
      return undefined;
    }
    const now = wallClockMilliseconds();
    const {request: requestKey, parts} = computeSuspectKeys(request);
    const findHistory = (key: string): SuspectHistory => ({
      key,
      crashes: table.findCrashes(key, now),
    });
    const suspects = table
      .listRepeated()
      .map(findHistory)
      .filter(({crashes}) => crashes.size >= REFUSAL_CRASH_COUNT);
    const own = [requestKey, ...parts].map(findHistory);
    return findCulprit(own, suspects, REFUSAL_CRASH_COUNT);
  }

  /**
   * Lets a request run as a trial. Only a request that is suspected for one part
   * alone can show something of it.
   */
  private tryStartTrial(
    request: SuspectedRequest,
    {key}: SuspectHistory,
  ): boolean {
    const {table, logger, random, gateway} = this.options;
    const now = this.options.wallClockMilliseconds();
    const {parts} = computeSuspectKeys(request);
    const suspectedParts = parts.filter(
      part => table.findCrashes(part, now).size > 0,
    );
    if (suspectedParts.length !== 1 || suspectedParts[0] !== key) {
      return false;
    }
    const crashes = table.findCrashes(key, now);
    if (!decideTrial({...readTrialTimes(crashes), now}, random)) {
      return false;
    }
    this.trials.add(request);
    const deathId = `${TRIAL_PREFIX}${gateway}@${now}`;
    this.publish({deathId, at: now, fingerprints: [key]});
    logger.warn('crash_trial', {
      request: request.metadata.requestId,
      suspect: key,
    });
    return true;
  }

  private suspect(
    incarnation: string,
    requests: readonly SuspectedRequest[],
  ): void {
    const {table, logger, wallClockMilliseconds} = this.options;
    if (requests.length === 0) {
      return;
    }
    const at = wallClockMilliseconds();
    const keys = requests.map(computeSuspectKeys);
    const fingerprints = [...new Set(keys.flatMap(listKeys))];
    table.evictExpired(at);
    if (!this.publish({deathId: incarnation, at, fingerprints})) {
      return;
    }
    requests.forEach(({metadata, fingerprint}, index) =>
      logger.warn('crash_suspected', {
        request: metadata.requestId,
        fingerprint: fingerprint(),
        suspects: keys[index]?.parts.join(',') || undefined,
        crash: incarnation,
        crashes: table.countCrashes(fingerprint(), at),
      }),
    );
  }

  /** Applies a record and passes it on if it contains something new. */
  private publish(record: SuspicionRecord): boolean {
    const {table, onSuspicion} = this.options;
    const isNew = table.apply(record);
    if (isNew) {
      onSuspicion(record);
    }
    return isNew;
  }

  private clear(keys: readonly string[]): void {
    const {table, onSuspicion} = this.options;
    keys.flatMap(key => table.clear(key)).forEach(onSuspicion);
  }

  private evictExpired(): void {
    const oldest = this.options.now() - CONFIRMATION_MILLISECONDS;
    for (const [incarnation, attempts] of this.interrupted) {
      const recent = attempts.filter(
        ({interruptedAt}) => interruptedAt >= oldest,
      );
      if (recent.length === 0) {
        this.interrupted.delete(incarnation);
      } else {
        this.interrupted.set(incarnation, recent);
      }
    }
    for (const [incarnation, crashedAt] of this.crashed) {
      if (crashedAt < oldest) {
        this.crashed.delete(incarnation);
      }
    }
  }
}

function toIncarnationName({id, startedAt}: EndpointIncarnation): string {
  return `${id}@${startedAt ?? ''}`;
}

function listKeys({request, parts}: SuspectKeys): readonly string[] {
  return [request, ...parts];
}

/** Tells the trials of a suspect from the crashes. */
function readTrialTimes(
  crashes: ReadonlyMap<string, number>,
): Pick<TrialState, 'lastCrashAt' | 'lastTrialAt'> {
  const isTrial = ([id]: readonly [string, number]) =>
    id.startsWith(TRIAL_PREFIX);
  const entries = [...crashes];
  const trials = entries.filter(isTrial);
  const others = entries.filter(entry => !isTrial(entry));
  const findNewest = (list: typeof entries) =>
    Math.max(...list.map(([, at]) => at));
  return {
    lastCrashAt: findNewest(others),
    lastTrialAt: trials.length === 0 ? undefined : findNewest(trials),
  };
}
