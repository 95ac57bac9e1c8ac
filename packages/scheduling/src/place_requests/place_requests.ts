/**
 * Decides which waiting requests start now, and at which engines.
 */
import type {
  AdmissionLane,
  LaneHead,
} from '../admission_lane/admission_lane.js';
import {
  computeMeanMemory,
  computeReceivedShare,
  hasReceivedLess,
  type AdmissionRequest,
} from '../admission_request/admission_request.js';
import type {FindRoom} from '../find_engine_room/find_engine_room.js';
import {REQUEST_CLASSES} from '../request/request.js';
import {
  selectEndpoint,
  type EndpointState,
} from '../select_endpoint/select_endpoint.js';

/** A request that starts now. */
export interface AdmissionPlacement<T extends EndpointState> {
  readonly request: AdmissionRequest;
  readonly endpoint: T;
}

/** Options of {@link placeRequests}. */
export interface PlaceRequestsOptions {
  /** Monotonic time, in milliseconds. */
  readonly now: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Shortest target latency among the requests of the service. */
  readonly shortestTargetMilliseconds: number;
  /** Finds the endpoints with room. */
  readonly findRoom: FindRoom;
  /** Recent work by organisation, in tokens. */
  readonly receivedTokens: ReadonlyMap<string, number>;
  /** Called for each request that starts; must remove it from its lane. */
  readonly onStart: (lane: AdmissionLane, request: AdmissionRequest) => void;
}

/**
 * Starts requests in their order as long as engines have room.
 *
 * The first request of a lane that finds no room holds back the others of its
 * lane, so that small requests do not starve large ones; only urgent requests
 * may then still start in the reserve.
 *
 * @param enginesByLane - Engines that may run the requests of each lane
 * @param options - Time, random source and callback
 * @returns The requests that start, in order
 */
export function placeRequests<T extends EndpointState>(
  enginesByLane: ReadonlyMap<AdmissionLane, readonly T[]>,
  options: PlaceRequestsOptions,
): AdmissionPlacement<T>[] {
  const placements: AdmissionPlacement<T>[] = [];
  const current = new Map(enginesByLane);
  const openLanes = new Set(enginesByLane.keys());
  for (;;) {
    const lane = chooseLane(openLanes, options);
    if (lane === undefined) {
      return placements;
    }
    const placement = placeNext(lane, current.get(lane) ?? [], options);
    if (placement === undefined) {
      openLanes.delete(lane);
      continue;
    }
    placements.push(placement);
    options.onStart(lane, placement.request);
    for (const [other, engines] of current) {
      current.set(other, addPlacement(engines, placement));
    }
  }
}

/** Places the next request of a lane, or an urgent one that needs less room. */
function placeNext<T extends EndpointState>(
  lane: AdmissionLane,
  engines: readonly T[],
  options: PlaceRequestsOptions,
): AdmissionPlacement<T> | undefined {
  const head = lane.peek(options.now, options.receivedTokens);
  const placement = head && place(head, engines, options);
  if (placement !== undefined || head?.schedulingClass === 'urgent') {
    return placement;
  }
  const urgent = lane.peekUrgent(options.now);
  return urgent && place(urgent, engines, options);
}

function place<T extends EndpointState>(
  {request, usesReserves}: LaneHead,
  engines: readonly T[],
  {random, findRoom, shortestTargetMilliseconds}: PlaceRequestsOptions,
): AdmissionPlacement<T> | undefined {
  const tokens = computeMeanMemory(request);
  const {prefillMilliseconds} = request;
  const open = engines.filter(({remainingStarts}) => remainingStarts !== 0);
  const room = findRoom(open, {
    tokens,
    prefillMilliseconds,
    usesReserves,
    shortestTargetMilliseconds,
  });
  const endpoint = selectEndpoint(room, {
    random,
    neededTokens: tokens,
    output: {
      tokens: request.outputTokens,
      targetGapMilliseconds: request.targetGapMilliseconds,
    },
  });
  return endpoint && {request, endpoint};
}

/** Returns the lane whose next request goes first. */
function chooseLane(
  lanes: ReadonlySet<AdmissionLane>,
  {now, receivedTokens}: PlaceRequestsOptions,
): AdmissionLane | undefined {
  let best: {lane: AdmissionLane; head: LaneHead} | undefined;
  for (const lane of lanes) {
    const head = lane.peek(now, receivedTokens);
    if (
      head !== undefined &&
      (!best || isBefore(head, best.head, receivedTokens))
    ) {
      best = {lane, head};
    }
  }
  return best?.lane;
}

/**
 * Orders the first requests of two lanes as one lane orders its own: by priority,
 * timely before late, then by the work that their organisations have received.
 */
function isBefore(
  left: LaneHead,
  right: LaneHead,
  received: ReadonlyMap<string, number>,
): boolean {
  const indexOf = ({schedulingClass}: LaneHead) =>
    REQUEST_CLASSES.indexOf(schedulingClass);
  const difference = indexOf(left) - indexOf(right);
  if (difference !== 0) {
    return difference < 0;
  }
  if (left.isLate !== right.isLate) {
    const [late, onTime] = left.isLate ? [left, right] : [right, left];
    const isLateFirst = hasReceivedLess(late.request, onTime.request, received);
    return left.isLate === isLateFirst;
  }
  const readShare = ({request}: LaneHead) =>
    computeReceivedShare(request, received);
  return (
    (readShare(left) - readShare(right) ||
      left.request.arrivedAt - right.request.arrivedAt) < 0
  );
}

/** Adds a placed request to the state of its engine. */
function addPlacement<T extends EndpointState>(
  engines: readonly T[],
  {request, endpoint}: AdmissionPlacement<T>,
): T[] {
  return engines.map(engine =>
    engine.id === endpoint.id
      ? {
          ...engine,
          openRequests: engine.openRequests + 1,
          remainingStarts:
            engine.remainingStarts === undefined
              ? undefined
              : engine.remainingStarts - 1,
          usedTokens: engine.usedTokens + computeMeanMemory(request),
          waitMilliseconds:
            engine.waitMilliseconds + request.prefillMilliseconds,
        }
      : engine,
  );
}
