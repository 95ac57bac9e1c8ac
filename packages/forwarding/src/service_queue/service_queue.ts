/**
 * Requests that wait for the endpoints of one service.
 */
import type {RoutingConfiguration} from '@briarpin/coordination';
import {
  EngineAdmission,
  type AdmissionRejection,
  type AdmissionRequest,
  type FindRoom,
} from '@briarpin/scheduling';

import {createLane} from '../create_admission_request/create_admission_request.js';
import type {EndpointCandidate} from '../endpoint_loads/endpoint_loads.js';
import {
  createNotSent,
  type EngineAcquisition,
} from '../engine_acquisition/engine_acquisition.js';
import {findUntriedEndpoints} from '../find_untried_endpoints/find_untried_endpoints.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {
  logQueued,
  recordPlacement,
  recordRejection,
} from '../record_admission/record_admission.js';

/** Wait from which a request is logged as queued. */
const LOGGED_WAIT_MILLISECONDS = 50;

/**
 * Requests that one review starts at an endpoint with a rate limit. A request is
 * counted only when it is sent, which is after the review.
 */
const STARTS_OF_LIMITED_ENDPOINT = 1;

/** A request that asks for an engine. */
export interface QueuedExchange {
  readonly request: AdmissionRequest;
  readonly exchange: Exchange;
  readonly context: ForwardingContext;
  /** Called once with the outcome. */
  readonly onSettled: (acquisition: EngineAcquisition) => void;
}

interface WaitingExchange extends QueuedExchange {
  /** Its lane changes with the regions that the configuration allows. */
  request: AdmissionRequest;
  /** Configuration by which its lane was chosen. */
  configuration: RoutingConfiguration | undefined;
  readonly queuedAt: number;
  isLogged: boolean;
  readonly settle: (acquisition: EngineAcquisition) => void;
}

/** Options of {@link ServiceQueue}. */
export interface ServiceQueueOptions {
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Finds the endpoints with room. */
  readonly findRoom: FindRoom;
  /** True if work is counted in tokens, false if in calls. */
  readonly countsTokens: boolean;
}

/** Holds the waiting requests of one service and settles them in reviews. */
export class ServiceQueue {
  private readonly admission: EngineAdmission<EndpointCandidate>;
  private readonly waiting = new Map<string, WaitingExchange>();

  /** True if work is counted in tokens, false if in calls. */
  readonly countsTokens: boolean;

  /**
   * @param options - Random source, room at the endpoints and unit of work
   */
  constructor({random, findRoom, countsTokens}: ServiceQueueOptions) {
    this.admission = new EngineAdmission(random, findRoom);
    this.countsTokens = countsTokens;
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.waiting.size;
  }

  /** Returns the organisation of each waiting request. */
  listOrganisations(): string[] {
    return [...this.waiting.values()].map(({request}) => request.organisation);
  }

  /** Returns the recent work of all gateways by organisation, in tokens. */
  sumRecentWork(now: number): ReadonlyMap<string, number> {
    return this.admission.sumRecentWork(now);
  }

  /** Charges an organisation for work that it received elsewhere. */
  charge(organisation: string, tokens: number, now: number): void {
    this.admission.charge(organisation, tokens, now);
  }

  /**
   * Adds a request, and removes it at once when its caller disconnects.
   *
   * @param queued - The request
   * @param now - Monotonic time, in milliseconds
   */
  submit(queued: QueuedExchange, now: number): void {
    const {request, exchange} = queued;
    const onAbort = () => {
      this.admission.withdraw(waiting.request);
      waiting.settle(createNotSent('the caller left or the time is over'));
    };
    const waiting: WaitingExchange = {
      ...queued,
      configuration: queued.context.eligibility.configuration,
      queuedAt: now,
      isLogged: false,
      settle: acquisition => {
        exchange.signal.removeEventListener('abort', onAbort);
        this.waiting.delete(request.id);
        queued.onSettled(acquisition);
      },
    };
    const rejection = this.admission.submit(request, now);
    if (rejection !== undefined) {
      reject(waiting, rejection, now);
      return;
    }
    this.waiting.set(request.id, waiting);
    exchange.signal.addEventListener('abort', onAbort, {once: true});
    this.review(now);
  }

  /**
   * Settles the requests that start or cannot be served in their time. If that
   * fails, all waiting requests are rejected as not run.
   */
  review(now: number): void {
    if (this.waiting.size === 0) {
      return;
    }
    try {
      this.settleDecided(now);
    } catch (error) {
      this.rejectAll(error);
    }
  }

  private settleDecided(now: number): void {
    this.waiting.forEach(waiting => this.applyRestrictions(waiting, now));
    const {placements, rejections} = this.admission.review(now, ({id}) =>
      findEngines(this.waiting.get(id)),
    );
    for (const {request, endpoint} of placements) {
      const placed = this.waiting.get(request.id);
      if (placed !== undefined) {
        this.place(placed, endpoint, now);
      }
    }
    for (const rejection of rejections) {
      const rejected = this.waiting.get(rejection.request.id);
      if (rejected !== undefined) {
        reject(rejected, rejection, now);
      }
    }
    this.waiting.forEach(waiting => this.checkWaiting(waiting, now));
  }

  /**
   * Settles a request for which no allowed endpoint is left, and moves one whose
   * allowed regions have changed to the lane of the requests that have the same.
   */
  private applyRestrictions(waiting: WaitingExchange, now: number): void {
    const {request, exchange, context} = waiting;
    const {eligibility} = context;
    if (eligibility.isRestrictedFromAll(exchange)) {
      this.admission.withdraw(request);
      waiting.settle({kind: 'none'});
      return;
    }
    const {configuration} = eligibility;
    if (configuration === waiting.configuration) {
      return;
    }
    waiting.configuration = configuration;
    if (createLane(exchange, eligibility) !== request.lane) {
      this.admission.withdraw(request);
      this.resubmit(waiting, now);
    }
  }

  /** Settles a placed request, unless its engine is no longer eligible. */
  private place(
    placed: WaitingExchange,
    engine: EndpointCandidate,
    now: number,
  ): void {
    const {exchange, context} = placed;
    const allowed = findUntriedEndpoints(exchange, context);
    if (allowed.some(({id}) => id === engine.id)) {
      recordPlacement(placed, now, engine.id);
      placed.settle({kind: 'placed', engine});
    } else {
      this.resubmit(placed, now);
    }
  }

  private resubmit(waiting: WaitingExchange, now: number): void {
    const {request, exchange, context} = waiting;
    const lane = createLane(exchange, context.eligibility);
    waiting.request = {...request, lane};
    const rejection = this.admission.submit(waiting.request, now);
    if (rejection !== undefined) {
      reject(waiting, rejection, now);
    }
  }

  private rejectAll(error: unknown): void {
    const message = error instanceof Error ? error.stack : String(error);
    for (const waiting of [...this.waiting.values()]) {
      waiting.context.logger.error('review_failed', {
        request: waiting.exchange.metadata.requestId,
        message,
      });
      this.admission.withdraw(waiting.request);
      waiting.settle(createNotSent('the admission failed'));
    }
  }

  /** Rejects a request while the gateway shuts down, and logs a long wait. */
  private checkWaiting(waiting: WaitingExchange, now: number): void {
    const {request, context, queuedAt, isLogged} = waiting;
    if (context.shutdown.hasBegun) {
      this.admission.withdraw(request);
      waiting.settle(createNotSent('the gateway shuts down'));
    } else if (!isLogged && now - queuedAt >= LOGGED_WAIT_MILLISECONDS) {
      waiting.isLogged = true;
      logQueued(waiting, now, this.size);
    }
  }
}

/** Returns the engines that may run a waiting request now. */
function findEngines(
  waiting: WaitingExchange | undefined,
): readonly EndpointCandidate[] {
  if (waiting === undefined) {
    return [];
  }
  const {exchange, context} = waiting;
  const {loads, eligibility} = context;
  return loads
    .computeCandidates(
      findUntriedEndpoints(exchange, context),
      exchange.service,
    )
    .map(candidate =>
      eligibility.isRateLimited(candidate.entry)
        ? {...candidate, remainingStarts: STARTS_OF_LIMITED_ENDPOINT}
        : candidate,
    );
}

function reject(
  waiting: WaitingExchange,
  rejection: AdmissionRejection,
  now: number,
): void {
  recordRejection(waiting, rejection, now);
  waiting.settle(
    createNotSent(
      `no engine has room in time: ${rejection.reason}`,
      rejection.retryAfterMilliseconds,
    ),
  );
}
