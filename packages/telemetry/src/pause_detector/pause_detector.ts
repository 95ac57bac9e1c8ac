/**
 * Detects pauses of the process in which it could handle no event.
 */

/** Interval at which the process shows that it runs. */
const TICK_MILLISECONDS = 100;

/** Time between two ticks from which the process counts as paused. */
const PAUSE_MILLISECONDS = 2 * TICK_MILLISECONDS;

/** Time after a pause in which events of the pause are handled. */
const CATCH_UP_MILLISECONDS = 50;

/** A time in which no event was handled. */
interface Pause {
  readonly startedAt: number;
  readonly endedAt: number;
}

/**
 * Knows since when an event that is handled now may have waited: since the start
 * of the pause, if the process was paused until just now.
 */
export class PauseDetector {
  private lastTickAt: number;
  private lastPause: Pause | undefined;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param now - Returns the monotonic time, in milliseconds
   */
  constructor(private readonly now: () => number) {
    this.lastTickAt = now();
    this.timer = setInterval(() => this.tick(), TICK_MILLISECONDS);
    this.timer.unref();
  }

  /** Earliest time at which an event that is handled now has occurred. */
  get earliestEventAt(): number {
    this.detectPause();
    const now = this.now();
    const pause = this.lastPause;
    const isCatchingUp =
      pause !== undefined && now - pause.endedAt < CATCH_UP_MILLISECONDS;
    return isCatchingUp ? pause.startedAt : now;
  }

  /** Stops the ticks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    this.detectPause();
    this.lastTickAt = this.now();
  }

  private detectPause(): void {
    const now = this.now();
    if (now - this.lastTickAt > PAUSE_MILLISECONDS) {
      this.lastPause = {startedAt: this.lastTickAt, endedAt: now};
      this.lastTickAt = now;
    }
  }
}
