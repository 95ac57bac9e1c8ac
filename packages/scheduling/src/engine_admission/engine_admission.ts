/**
 * Decides which requests for engines start now and where, and which are
 * rejected.
 */
import {AdmissionLane} from '../admission_lane/admission_lane.js';
import {
  computeCost,
  type AdmissionRequest,
} from '../admission_request/admission_request.js';
import {
  createRejection,
  type AdmissionRejection,
  type AdmissionRejectionReason,
} from '../create_rejection/create_rejection.js';
import {
  findEngineRoom,
  type FindRoom,
} from '../find_engine_room/find_engine_room.js';
import {
  placeRequests,
  type AdmissionPlacement,
} from '../place_requests/place_requests.js';
import {RecentWork} from '../recent_work/recent_work.js';
import type {EndpointState} from '../select_endpoint/select_endpoint.js';
import {StartRate} from '../start_rate/start_rate.js';

/**
 * Time for which a request waits while no engine may run it. Engines that stop
 * are replaced within seconds, but a gateway that knows none cannot tell when.
 */
const WITHOUT_ENGINES_MILLISECONDS = 1_000;

/** Interval at which the predicted waits are compared with the deadlines. */
const PREDICTION_INTERVAL_MILLISECONDS = 200;

/**
 * Factor by which the predicted wait of a waiting request must exceed its
 * remaining time: a request that was let in is not rejected for a small change
 * of the rate.
 */
const PREDICTION_TOLERANCE = 1.25;

/** Time for which the shortest target latency of a service is remembered. */
const TARGET_MEMORY_MILLISECONDS = 60_000;

/** What a review has decided. */
export interface AdmissionReview<T extends EndpointState> {
  readonly placements: readonly AdmissionPlacement<T>[];
  readonly rejections: readonly AdmissionRejection[];
}

/**
 * Admission of the requests for the engines of one service.
 *
 * A request starts when an engine has room for it and no other request that may
 * run there goes first. Reviews do not read clocks or sockets; the caller gives
 * the time and the state of the engines.
 */
export class EngineAdmission<T extends EndpointState> {
  private readonly lanes = new Map<string, AdmissionLane>();
  private readonly startRate = new StartRate();
  private readonly recentWork = new RecentWork();
  private shortestTarget = {milliseconds: Infinity, seenAt: 0};
  private nextPredictionAt = 0;

  /**
   * @param random - Returns a random number in [0, 1)
   * @param findRoom - Finds the endpoints with room; those of engines by default
   */
  constructor(
    private readonly random: () => number,
    private readonly findRoom: FindRoom = findEngineRoom,
  ) {}

  /** Number of waiting requests. */
  get size(): number {
    let size = 0;
    this.lanes.forEach(lane => (size += lane.size));
    return size;
  }

  /**
   * Adds a request, which waits until a review starts or rejects it.
   *
   * @param request - The request
   * @param now - Monotonic time, in milliseconds
   * @returns The rejection if others wait and it cannot start in its time
   */
  submit(
    request: AdmissionRequest,
    now: number,
  ): AdmissionRejection | undefined {
    this.startRate.observe(this.size > 0, now);
    this.recordTarget(request, now);
    const lane = this.lanes.get(request.lane);
    if (lane !== undefined) {
      const waitMilliseconds = this.predictWait(
        lane.computeCostAheadOfNew(request),
        request,
      );
      if (waitMilliseconds > computeSlack(request, now)) {
        return this.reject(request, 'predicted_wait', waitMilliseconds);
      }
    }
    const target = lane ?? new AdmissionLane(this.recentWork.sum(now));
    this.lanes.set(request.lane, target);
    target.add(request, now);
    return undefined;
  }

  /**
   * Starts the requests for which there is room, and rejects those that cannot
   * be served in their time.
   *
   * @param now - Monotonic time, in milliseconds
   * @param findEngines - Returns the engines that may run the requests of the
   *   lane of a request; called at most once for each lane
   * @returns The requests that start, in order, and those that are rejected
   */
  review(
    now: number,
    findEngines: (request: AdmissionRequest) => readonly T[],
  ): AdmissionReview<T> {
    this.startRate.observe(this.size > 0, now);
    const rejections = this.rejectExpired(now);
    const enginesByLane = new Map<AdmissionLane, readonly T[]>();
    for (const lane of this.lanes.values()) {
      lane.moveLate(now);
      const [first] = lane.list();
      const engines = first === undefined ? [] : findEngines(first);
      enginesByLane.set(lane, engines);
      rejections.push(...this.rejectWithoutEngines(lane, engines, now));
    }
    const receivedTokens = new Map(this.recentWork.sum(now));
    const placements = placeRequests(enginesByLane, {
      now,
      random: this.random,
      findRoom: this.findRoom,
      shortestTargetMilliseconds: this.shortestTarget.milliseconds,
      receivedTokens,
      onStart: (lane, request) => {
        this.recordStart(lane, request, now);
        const {organisation} = request;
        const received = receivedTokens.get(organisation) ?? 0;
        receivedTokens.set(organisation, received + computeCost(request));
      },
    });
    rejections.push(...this.rejectUnservable(now));
    this.removeEmptyLanes();
    return {placements, rejections};
  }

  /** Removes a request whose caller has disconnected. */
  withdraw({id, lane}: Pick<AdmissionRequest, 'id' | 'lane'>): void {
    this.lanes.get(lane)?.withdraw(id);
    this.removeEmptyLanes();
  }

  /**
   * Charges an organisation for work that it received through other gateways.
   *
   * @param organisation - The organisation
   * @param tokens - Prompt and output tokens
   * @param now - Monotonic time, in milliseconds
   */
  charge(organisation: string, tokens: number, now: number): void {
    this.recentWork.add(organisation, tokens, now);
    this.lanes.forEach(lane => lane.charge(organisation, tokens));
  }

  /** Returns the recent work of all gateways by organisation, in tokens. */
  sumRecentWork(now: number): ReadonlyMap<string, number> {
    return this.recentWork.sum(now);
  }

  private recordStart(
    started: AdmissionLane,
    request: AdmissionRequest,
    now: number,
  ): void {
    const tokens = computeCost(request);
    started.start(request);
    for (const lane of this.lanes.values()) {
      if (lane !== started) {
        lane.charge(request.organisation, tokens);
      }
    }
    this.recentWork.add(request.organisation, tokens, now);
    this.startRate.recordStart(tokens);
  }

  private rejectWithoutEngines(
    lane: AdmissionLane,
    engines: readonly T[],
    now: number,
  ): AdmissionRejection[] {
    if (engines.length > 0) {
      lane.withoutEnginesSince = undefined;
      return [];
    }
    lane.withoutEnginesSince ??= now;
    if (now - lane.withoutEnginesSince < WITHOUT_ENGINES_MILLISECONDS) {
      return [];
    }
    return lane.list().map(request => {
      lane.withdraw(request.id);
      return this.reject(request, 'no_engine', 0);
    });
  }

  /** Rejects the requests whose first event would come after their deadline. */
  private rejectExpired(now: number): AdmissionRejection[] {
    const rejections: AdmissionRejection[] = [];
    for (const lane of this.lanes.values()) {
      for (const request of lane.list()) {
        if (request.expiresAt - request.prefillMilliseconds <= now) {
          lane.withdraw(request.id);
          rejections.push(this.reject(request, 'no_time_left', 0));
        }
      }
    }
    return rejections;
  }

  /** Rejects the waiting requests that cannot end in their time. */
  private rejectUnservable(now: number): AdmissionRejection[] {
    const isPredicted = now >= this.nextPredictionAt;
    if (isPredicted) {
      this.nextPredictionAt = now + PREDICTION_INTERVAL_MILLISECONDS;
    }
    const rejections: AdmissionRejection[] = [];
    for (const lane of this.lanes.values()) {
      for (const request of lane.list()) {
        const slack = computeSlack(request, now);
        const wait = isPredicted
          ? this.predictWait(lane.computeCostAhead(request.id), request)
          : 0;
        if (slack <= 0 || wait > slack * PREDICTION_TOLERANCE) {
          lane.withdraw(request.id);
          const reason = slack <= 0 ? 'no_time_left' : 'predicted_wait';
          rejections.push(this.reject(request, reason, wait));
        }
      }
    }
    return rejections;
  }

  private predictWait(costAhead: number, request: AdmissionRequest): number {
    const cost = computeCost(request);
    return this.startRate.predictMilliseconds(costAhead + cost, cost);
  }

  private reject(
    request: AdmissionRequest,
    reason: AdmissionRejectionReason,
    waitMilliseconds: number,
  ): AdmissionRejection {
    const {random} = this;
    return createRejection(request, {reason, waitMilliseconds, random});
  }

  private recordTarget(request: AdmissionRequest, now: number): void {
    const {milliseconds, seenAt} = this.shortestTarget;
    const isOld = now - seenAt > TARGET_MEMORY_MILLISECONDS;
    if (request.targetLatencyMilliseconds <= milliseconds || isOld) {
      this.shortestTarget = {
        milliseconds: request.targetLatencyMilliseconds,
        seenAt: now,
      };
    }
  }

  private removeEmptyLanes(): void {
    for (const [name, lane] of this.lanes) {
      if (lane.size === 0) {
        this.lanes.delete(name);
      }
    }
  }
}

/** Returns the time for which a request can wait and still end in its time. */
function computeSlack(request: AdmissionRequest, now: number): number {
  return request.expiresAt - request.runMilliseconds - now;
}
