/**
 * Requests that wait at the gateway until an engine has room.
 */
import type {Clock} from '@briarpin/coordination';
import {
  EngineAdmission,
  type AdmissionRejection,
  type AdmissionRequest,
} from '@briarpin/scheduling';

import {createAdmissionRequest} from '../create_admission_request/create_admission_request.js';
import {
  createNotSent,
  type EngineAcquisition,
} from '../engine_acquisition/engine_acquisition.js';
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import {
  findUntriedEndpoints,
  type Exchange,
  type ForwardingContext,
} from '../exchange/exchange.js';
import {
  logDequeued,
  logQueued,
  logRejectedByQueue,
} from '../log_admission/log_admission.js';
import {RunTimes} from '../run_times/run_times.js';

/** Mean interval of the reviews while requests wait. */
const REVIEW_INTERVAL_MILLISECONDS = 20;

/** Reviews after reports of other gateways are at least this far apart. */
const MINIMUM_REVIEW_INTERVAL_MILLISECONDS = 10;

/** Wait from which a request is logged as queued. */
const LOGGED_WAIT_MILLISECONDS = 50;

/** Options of {@link EngineQueue}. */
export interface EngineQueueOptions {
  readonly clock: Clock;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly exchange: Exchange;
  readonly context: ForwardingContext;
  readonly queuedAt: number;
  isLogged: boolean;
  readonly settle: (acquisition: EngineAcquisition) => void;
}

/** Admission of one service and its waiting requests by identifier. */
interface ServiceQueue {
  readonly admission: EngineAdmission<EndpointCandidate>;
  readonly waiting: Map<string, WaitingRequest>;
}

/**
 * Lets requests wait until the admission of their service starts or rejects
 * them. Reviews the waiting requests when work of this gateway ends, when other
 * gateways report, and on a timer while any request waits.
 */
export class EngineQueue {
  private readonly services = new Map<string, ServiceQueue>();
  private readonly runTimes = new RunTimes();
  private lastIdentifier = 0;
  private reviewedAt = Number.NEGATIVE_INFINITY;
  private isTimerRunning = false;
  private isReviewRequested = false;

  /**
   * @param options - Clock and random source
   */
  constructor(private readonly options: EngineQueueOptions) {}

  /** Number of waiting requests. */
  get size(): number {
    let size = 0;
    this.services.forEach(({waiting}) => (size += waiting.size));
    return size;
  }

  /**
   * Waits for an engine with room for a request.
   *
   * @param exchange - The request
   * @param context - Shared context of the gateway
   * @returns The engine; a failure with `Retry-After` if the request cannot be
   *   served in its time, its caller has disconnected or the gateway shuts
   *   down; or that no engine may run it
   */
  acquire(
    exchange: Exchange,
    context: ForwardingContext,
  ): Promise<EngineAcquisition> {
    if (exchange.signal.aborted) {
      return Promise.resolve(createNotSent('the caller left before it waited'));
    }
    if (findUntriedEndpoints(exchange, context).length === 0) {
      return Promise.resolve({kind: 'none'});
    }
    return new Promise<EngineAcquisition>(resolve =>
      this.submit(exchange, context, resolve),
    ).then(acquisition =>
      exchange.signal.aborted
        ? createNotSent('the caller left or the time is over')
        : acquisition,
    );
  }

  /**
   * Reviews the waiting requests once the current callbacks have run, after work
   * of this gateway has ended. Requests that were placed before are then counted
   * at their engines.
   */
  requestReview(): void {
    if (this.isReviewRequested || this.size === 0) {
      return;
    }
    this.isReviewRequested = true;
    setImmediate(() => {
      this.isReviewRequested = false;
      this.review();
    });
  }

  /** Reviews the waiting requests. */
  review(): void {
    this.reviewedAt = this.options.clock.now();
    this.services.forEach(service => this.reviewService(service));
  }

  /** Reviews the waiting requests after a report of another gateway. */
  reviewAfterReport(): void {
    const elapsed = this.options.clock.now() - this.reviewedAt;
    if (this.size > 0 && elapsed >= MINIMUM_REVIEW_INTERVAL_MILLISECONDS) {
      this.review();
    }
  }

  /**
   * Records that a run has ended at an engine.
   *
   * @param route - Name of its route
   * @param outputTokens - Tokens that it was expected to generate
   * @param milliseconds - Time since it was sent
   */
  recordRun(route: string, outputTokens: number, milliseconds: number): void {
    this.runTimes.record(route, outputTokens, milliseconds);
  }

  /**
   * Charges an organisation for work that it received through other gateways.
   *
   * @param organisation - The organisation
   * @param tokens - Prompt and output tokens
   */
  charge(organisation: string, tokens: number): void {
    const now = this.options.clock.now();
    this.services.forEach(({admission}) =>
      admission.charge(organisation, tokens, now),
    );
  }

  private submit(
    exchange: Exchange,
    context: ForwardingContext,
    resolve: (acquisition: EngineAcquisition) => void,
  ): void {
    const now = this.options.clock.now();
    const service = this.findService(exchange.service.name);
    this.lastIdentifier += 1;
    const request = createAdmissionRequest(exchange, context, {
      id: String(this.lastIdentifier),
      runTimes: this.runTimes,
    });
    const onAbort = () => {
      service.admission.withdraw(request);
      waiting.settle(createNotSent('the caller left or the time is over'));
    };
    const waiting: WaitingRequest = {
      request,
      exchange,
      context,
      queuedAt: now,
      isLogged: false,
      settle: acquisition => {
        exchange.signal.removeEventListener('abort', onAbort);
        service.waiting.delete(request.id);
        resolve(acquisition);
      },
    };
    const rejection = service.admission.submit(request, now);
    if (rejection !== undefined) {
      reject(waiting, rejection, now);
      return;
    }
    service.waiting.set(request.id, waiting);
    exchange.signal.addEventListener('abort', onAbort, {once: true});
    this.reviewService(service);
    this.startTimer();
  }

  private findService(name: string): ServiceQueue {
    let service = this.services.get(name);
    if (service === undefined) {
      service = {
        admission: new EngineAdmission(this.options.random),
        waiting: new Map(),
      };
      this.services.set(name, service);
    }
    return service;
  }

  private reviewService({admission, waiting}: ServiceQueue): void {
    if (waiting.size === 0) {
      return;
    }
    const now = this.options.clock.now();
    const {placements, rejections} = admission.review(now, ({id}) =>
      findEngines(waiting.get(id)),
    );
    for (const {request, endpoint} of placements) {
      const placed = waiting.get(request.id);
      if (placed?.isLogged) {
        logDequeued(placed, now, endpoint.id);
      }
      placed?.settle({kind: 'placed', engine: endpoint});
    }
    for (const rejection of rejections) {
      const rejected = waiting.get(rejection.request.id);
      if (rejected !== undefined) {
        reject(rejected, rejection, now);
      }
    }
    for (const request of waiting.values()) {
      this.checkWaiting(request, admission, now);
    }
  }

  /** Rejects a request while the gateway shuts down, and logs a long wait. */
  private checkWaiting(
    waiting: WaitingRequest,
    admission: EngineAdmission<EndpointCandidate>,
    now: number,
  ): void {
    const {request, context, queuedAt} = waiting;
    if (context.shutdown.hasBegun) {
      admission.withdraw(request);
      waiting.settle(createNotSent('the gateway shuts down'));
    } else if (
      !waiting.isLogged &&
      now - queuedAt >= LOGGED_WAIT_MILLISECONDS
    ) {
      waiting.isLogged = true;
      logQueued(waiting, now, this.size);
    }
  }

  private startTimer(): void {
    if (!this.isTimerRunning && this.size > 0) {
      this.isTimerRunning = true;
      void this.runTimer();
    }
  }

  private async runTimer(): Promise<void> {
    const {clock, random} = this.options;
    while (this.size > 0) {
      // Gateways that review at different moments do not all fill the same room.
      const interval = REVIEW_INTERVAL_MILLISECONDS * (0.5 + random());
      await clock.sleep(interval);
      this.review();
    }
    this.isTimerRunning = false;
  }
}

/** Returns the engines that may run a waiting request now. */
function findEngines(
  waiting: WaitingRequest | undefined,
): readonly EndpointCandidate[] {
  if (waiting === undefined) {
    return [];
  }
  const {exchange, context} = waiting;
  return context.loads.computeCandidates(
    findUntriedEndpoints(exchange, context),
    exchange.service,
  );
}

function reject(
  waiting: WaitingRequest,
  rejection: AdmissionRejection,
  now: number,
): void {
  logRejectedByQueue(waiting, rejection, now);
  waiting.settle(
    createNotSent(
      `no engine has room in time: ${rejection.reason}`,
      rejection.retryAfterMilliseconds,
    ),
  );
}
