/**
 * How long a gateway waits between two reads of the endpoints.
 */
import type {Clock} from '@briarpin/coordination';

/**
 * Pause after records of endpoints, so that one read gathers several: a small
 * part of the notice with which endpoints leave.
 */
const READER_GATHER_MILLISECONDS = 90;

/**
 * The same at a gateway that hears of endpoints from those that read: a few
 * heartbeats, so that a read confirms every live endpoint.
 */
const FOLLOWER_GATHER_MILLISECONDS = 5_000;

/**
 * Age of what the readers told at which such a gateway reads itself, as a part
 * of the time after which endpoints that leave may get no more work.
 */
const FOLLOWER_AGE_SHARE = 0.5;

/** How often it looks how old that is. */
const FOLLOWER_CHECK_MILLISECONDS = 250;

/** Which gateways read the endpoints, and what they tell. */
export interface EndpointReaders {
  /** True when this gateway tells the others of endpoints. */
  readonly isReader: () => boolean;
  /** Age of the newest endpoints that another gateway has told of. */
  readonly toldEndpointsAgeMilliseconds: () => number;
}

/** What {@link gatherEndpoints} needs. */
export interface GatherEndpointsOptions extends EndpointReaders {
  readonly clock: Clock;
  readonly bounds: {
    /** From the notice of an endpoint to its getting no more work. */
    readonly drainMilliseconds: number;
  };
}

/**
 * Waits until endpoints should be read again: soon at a gateway that reads for
 * all, later at one that is told by others, unless they have fallen silent.
 *
 * @param options - Who reads, and how late news may be
 * @param signal - Ends the wait
 */
export async function gatherEndpoints(
  {
    clock,
    bounds,
    isReader,
    toldEndpointsAgeMilliseconds,
  }: GatherEndpointsOptions,
  signal: AbortSignal,
): Promise<void> {
  const startedAt = clock.now();
  const maximumAge = bounds.drainMilliseconds * FOLLOWER_AGE_SHARE;
  await clock.sleep(READER_GATHER_MILLISECONDS, signal);
  while (
    !signal.aborted &&
    !isReader() &&
    toldEndpointsAgeMilliseconds() < maximumAge &&
    clock.now() - startedAt < FOLLOWER_GATHER_MILLISECONDS
  ) {
    await clock.sleep(FOLLOWER_CHECK_MILLISECONDS, signal);
  }
}
