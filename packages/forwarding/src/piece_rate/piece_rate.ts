/**
 * Finds out whether a response arrives in more small pieces than an engine makes.
 */
import type {Clock} from '@briarpin/coordination';

/** Interval in which pieces are counted. */
const INTERVAL_MILLISECONDS = 100;

/**
 * Most pieces of one interval: hundreds of times what an engine makes of one
 * stream, so that the events of a pause may also arrive at once.
 */
const MAXIMUM_PIECES = 32_768;

/**
 * Counts the chunks and events of a response, each of which takes time however
 * small it is: one server that sends nothing else, without end, would take the
 * whole time of the process.
 */
export class PieceRate {
  private startedAt = Number.NEGATIVE_INFINITY;
  private pieces = 0;

  /**
   * @param clock - Tells when an interval is over
   */
  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /**
   * Counts pieces that have arrived.
   *
   * @param pieces - Number of chunks and events
   * @returns True if there have been more of them than an engine makes
   */
  record(pieces: number): boolean {
    const now = this.clock.now();
    if (now - this.startedAt >= INTERVAL_MILLISECONDS) {
      this.startedAt = now;
      this.pieces = 0;
    }
    this.pieces += pieces;
    return this.pieces > MAXIMUM_PIECES;
  }
}
