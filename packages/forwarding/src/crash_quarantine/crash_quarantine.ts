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
import {runTask, type EventLogger} from '@briarpin/telemetry';

import type {EndpointAddress} from '../dialect/dialect.js';
import type {Exchange} from '../exchange/exchange.js';

/**
 * Crashes from which on a request is refused. Every crash interrupts a full
 * batch of other requests, some of which are retried into the next one.
 */
const REFUSAL_CRASH_COUNT = 3;

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
  /** Milliseconds since the epoch. */
  readonly wallClockMilliseconds: () => number;
  readonly probeListener: (address: EndpointAddress) => Promise<ListenerState>;
  readonly logger: EventLogger;
  /** Called for each change that other gateways must receive. */
  readonly onSuspicion: (record: SuspicionRecord) => void;
}

interface InterruptedAttempt {
  readonly request: SuspectedRequest;
  readonly interruptedAt: number;
}

/**
 * Suspects the requests that an endpoint ran when it crashed, and refuses a
 * request after several crashes without a complete run.
 *
 * An interrupted attempt alone is no suspicion, as endpoints also reset single
 * connections. It becomes one when the endpoint has ended without a shutdown
 * notice: nothing listens at its address, it has restarted, or its entry is
 * gone.
 */
export class CrashQuarantine {
  /** Interrupted attempts by incarnation whose endpoint may have crashed. */
  private readonly interrupted = new Map<string, InterruptedAttempt[]>();
  /** Incarnations that ended without a notice, and when that was found. */
  private readonly crashed = new Map<string, number>();
  private readonly probedIncarnations = new Set<string>();

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
    const {table, wallClockMilliseconds} = this.options;
    if (table.size === 0) {
      return 0;
    }
    const now = wallClockMilliseconds();
    const crashCount = table.countCrashes(request.fingerprint(), now);
    return crashCount >= REFUSAL_CRASH_COUNT
      ? SUSPICION_LIFETIME_MILLISECONDS
      : 0;
  }

  /** Records an attempt that was sent and got no complete response. */
  recordInterrupted(request: SuspectedRequest, endpoint: EndpointEntry): void {
    this.evictExpired();
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

  /** Records a request that an endpoint ran to its end. */
  recordCompleted(request: SuspectedRequest): void {
    const {table, onSuspicion} = this.options;
    if (table.size > 0) {
      table.clear(request.fingerprint()).forEach(onSuspicion);
    }
  }

  /**
   * Finds out whether an endpoint has ended without a shutdown notice.
   *
   * @param endpoint - Endpoint whose connection has just been closed in order
   * @returns True when it has crashed; false when it has not, or nothing shows it
   */
  async hasCrashed(endpoint: EndpointEntry): Promise<boolean> {
    const incarnation = toIncarnationName(endpoint);
    if (this.isReady(endpoint) && !this.crashed.has(incarnation)) {
      const state = await this.options.probeListener(endpoint);
      if (state === 'not_listening' && this.isReady(endpoint)) {
        this.recordCrash(endpoint);
      }
    }
    return this.crashed.has(incarnation);
  }

  /** Records that an incarnation has ended without a shutdown notice. */
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

  private suspect(
    incarnation: string,
    requests: readonly SuspectedRequest[],
  ): void {
    const {table, logger, onSuspicion, wallClockMilliseconds} = this.options;
    if (requests.length === 0) {
      return;
    }
    const at = wallClockMilliseconds();
    const fingerprints = [
      ...new Set(requests.map(request => request.fingerprint())),
    ];
    const record: SuspicionRecord = {deathId: incarnation, at, fingerprints};
    table.evictExpired(at);
    if (!table.apply(record)) {
      return;
    }
    for (const {metadata, fingerprint} of requests) {
      logger.warn('crash_suspected', {
        request: metadata.requestId,
        fingerprint: fingerprint(),
        crash: incarnation,
        crashes: table.countCrashes(fingerprint(), at),
      });
    }
    onSuspicion(record);
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
