/**
 * Table of the software versions at which streams began.
 */
import {
  MAXIMUM_STREAM_ORIGINS,
  STREAM_ORIGIN_SWEEP_MILLISECONDS,
} from '../constants.js';

/**
 * Version of a stream whose endpoint may have been another incarnation than its
 * entry said; such a stream may continue nowhere.
 */
export const UNKNOWN_SOFTWARE_VERSION = '';

/** Where a stream began; it may continue only there. */
export interface StreamOrigin {
  readonly service: string;
  /**
   * Version of the software of the endpoint that sent its first event, or
   * {@link UNKNOWN_SOFTWARE_VERSION}.
   */
  readonly softwareVersion: string;
}

/** A stream with its origin. */
export interface KnownStream {
  /** The caller's attempt that received the first event. */
  readonly requestId: string;
  readonly origin: StreamOrigin;
  /** Time for which its caller may still take it up. */
  readonly lifetimeMilliseconds: number;
}

interface StoredOrigin {
  origin: StreamOrigin;
  expiresAt: number;
}

/**
 * Remembers where streams began for as long as their callers may take them up.
 * The memory is bounded: past the maximum, the stream that was recorded first is
 * forgotten.
 */
export class StreamOriginTable {
  private readonly streams = new Map<string, StoredOrigin>();
  private nextSweepAt = Number.NEGATIVE_INFINITY;

  /**
   * @param now - Returns the monotonic time, in milliseconds
   * @param maximumStreams - Streams that are remembered at the most
   */
  constructor(
    private readonly now: () => number,
    private readonly maximumStreams = MAXIMUM_STREAM_ORIGINS,
  ) {}

  /** Number of remembered streams. */
  get size(): number {
    return this.streams.size;
  }

  /**
   * Records where a stream began. The origin of a known stream never changes,
   * except that it may turn out to be unknown; its lifetime may be extended.
   */
  record({requestId, origin, lifetimeMilliseconds}: KnownStream): void {
    this.sweep();
    const expiresAt = this.now() + lifetimeMilliseconds;
    const known = this.streams.get(requestId);
    if (known !== undefined) {
      known.expiresAt = Math.max(known.expiresAt, expiresAt);
      if (origin.softwareVersion === UNKNOWN_SOFTWARE_VERSION) {
        known.origin = origin;
      }
      return;
    }
    this.streams.set(requestId, {origin, expiresAt});
    if (this.streams.size > this.maximumStreams) {
      const [oldest = ''] = this.streams.keys();
      this.streams.delete(oldest);
    }
  }

  /** Finds a stream; undefined if it is unknown or its lifetime is over. */
  find(requestId: string): KnownStream | undefined {
    const stored = this.streams.get(requestId);
    const lifetimeMilliseconds = (stored?.expiresAt ?? 0) - this.now();
    return stored === undefined || lifetimeMilliseconds <= 0
      ? undefined
      : {requestId, origin: stored.origin, lifetimeMilliseconds};
  }

  /** Lists all streams whose lifetime is not over. */
  list(): KnownStream[] {
    return [...this.streams.keys()]
      .map(requestId => this.find(requestId))
      .filter(stream => stream !== undefined);
  }

  /** Forgets streams whose lifetime is over; rarely, as it visits all. */
  private sweep(): void {
    const now = this.now();
    if (now < this.nextSweepAt) {
      return;
    }
    this.nextSweepAt = now + STREAM_ORIGIN_SWEEP_MILLISECONDS;
    for (const [requestId, {expiresAt}] of this.streams) {
      if (expiresAt <= now) {
        this.streams.delete(requestId);
      }
    }
  }
}
