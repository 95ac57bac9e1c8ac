/**
 * Delays the next read of the endpoints, depending on the role of a gateway.
 */
import type {Clock} from '@briarpin/coordination';

/**
 * Minimum delay after records of endpoints, so that one read returns several; a
 * small fraction of the notice period with which endpoints shut down.
 */
const READER_BATCH_MILLISECONDS = 90;

/**
 * Delay at a gateway that receives endpoints from the reading gateways: a few
 * heartbeats, so that a read confirms every running endpoint.
 */
const FOLLOWER_READ_INTERVAL_MILLISECONDS = 5_000;

/**
 * Age of the received endpoints at which such a gateway reads the store itself,
 * as a fraction of the time within which a draining endpoint must stop
 * receiving work.
 */
const FOLLOWER_AGE_SHARE = 0.5;

/** Interval between two checks of that age. */
const FOLLOWER_CHECK_MILLISECONDS = 250;

/** Role of this gateway in reading the endpoints, and the received data. */
export interface EndpointReaders {
  /**
   * Returns true when this gateway reads the endpoints frequently and forwards
   * them to the others.
   */
  readonly isReader: () => boolean;
  /**
   * Returns the age of the newest endpoints reported by another gateway, in
   * milliseconds; infinite without a report.
   */
  readonly receivedEndpointsAgeMilliseconds: () => number;
  /** Returns true while a request waits for the next read. */
  readonly isReadAwaited: () => boolean;
}

/** Options of {@link delayEndpointsRead}. */
export interface DelayEndpointsReadOptions extends EndpointReaders {
  readonly clock: Clock;
  readonly bounds: {
    /**
     * Maximum time between the shutdown notice of an endpoint and its last new
     * request.
     */
    readonly drainMilliseconds: number;
  };
}

/**
 * Waits until the endpoints should be read again: briefly at a gateway that
 * reads for all, longer at one that receives the endpoints from others, unless
 * their reports are missing or out of date, or a request waits for the read.
 *
 * @param options - Clock, role of this gateway and drain bound
 * @param signal - Ends the wait early
 */
export async function delayEndpointsRead(
  {
    clock,
    bounds,
    isReader,
    receivedEndpointsAgeMilliseconds,
    isReadAwaited,
  }: DelayEndpointsReadOptions,
  signal: AbortSignal,
): Promise<void> {
  const startedAt = clock.now();
  const maximumAge = bounds.drainMilliseconds * FOLLOWER_AGE_SHARE;
  await clock.sleep(READER_BATCH_MILLISECONDS, signal);
  while (
    !signal.aborted &&
    !isReader() &&
    !isReadAwaited() &&
    receivedEndpointsAgeMilliseconds() < maximumAge &&
    clock.now() - startedAt < FOLLOWER_READ_INTERVAL_MILLISECONDS
  ) {
    await clock.sleep(FOLLOWER_CHECK_MILLISECONDS, signal);
  }
}
