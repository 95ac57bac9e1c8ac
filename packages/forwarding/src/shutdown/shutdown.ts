/**
 * Progress of the graceful shutdown of a gateway.
 */
import type {Clock} from '@briarpin/coordination';
import {
  computeShutdownSchedule,
  TimerLateness,
  type ShutdownSchedule,
} from '@briarpin/scheduling';

/** Interval at which a wait checks its condition. */
const POLL_MILLISECONDS = 20;

/** A request to stop. */
export interface ShutdownRequest {
  /** Time until the process is ended by force. */
  readonly graceMilliseconds: number;
  /** Time from which the grace period counts, on the clock. */
  readonly askedAt: number;
}

/** Tells the parts of a gateway whether it shuts down, and when it ends. */
export class Shutdown {
  private startedAt: number | undefined;
  private graceMilliseconds = Number.POSITIVE_INFINITY;
  private readonly timerLateness = new TimerLateness();
  /** True once the time of the answers has passed; the schedule may move back. */
  private isAnswerTimeOver = false;

  /**
   * @param clock - Monotonic clock
   */
  constructor(private readonly clock: Clock) {}

  /** True once the gateway has been asked to stop. */
  get hasBegun(): boolean {
    return this.startedAt !== undefined;
  }

  /** Time since the gateway was asked to stop; absent while it was not. */
  get elapsedMilliseconds(): number | undefined {
    return this.startedAt === undefined
      ? undefined
      : this.clock.now() - this.startedAt;
  }

  /**
   * Time until the platform sends connections to other instances; infinite while
   * no shutdown is planned.
   */
  get remainingDeregistrationMilliseconds(): number {
    return this.computeRemaining(schedule => schedule.deregisteredMilliseconds);
  }

  /** Time until new connections are refused; infinite while none is planned. */
  get remainingListeningMilliseconds(): number {
    return this.computeRemaining(
      schedule => schedule.stopListeningMilliseconds,
    );
  }

  /** Time until every request has its answer; infinite while none is planned. */
  get remainingAnswerMilliseconds(): number {
    const remaining = this.computeRemaining(
      schedule => schedule.answerMilliseconds,
    );
    this.isAnswerTimeOver ||= remaining <= 0;
    return this.isAnswerTimeOver ? Math.min(0, remaining) : remaining;
  }

  /** Time until the process ends; infinite while none is planned. */
  get remainingProcessMilliseconds(): number {
    return this.computeRemaining(schedule => schedule.closeMilliseconds);
  }

  /** Records that the gateway was asked to stop. */
  begin({graceMilliseconds, askedAt}: ShutdownRequest): void {
    this.startedAt = askedAt;
    this.graceMilliseconds = graceMilliseconds;
  }

  /**
   * Waits for a step of the shutdown, and observes how late timers are.
   *
   * @param remaining - Time until the step
   * @param isDone - Ends the wait early when it returns true before and after a
   *   pause, so that what had arrived unread has been read
   */
  async waitUntil(
    remaining: () => number,
    isDone: () => boolean = () => false,
  ): Promise<void> {
    let wasDone = false;
    while (remaining() > 0) {
      const isDoneNow = isDone();
      if (wasDone && isDoneNow) {
        return;
      }
      wasDone = isDoneNow;
      await this.sleepObserved(Math.min(POLL_MILLISECONDS, remaining()));
    }
  }

  private async sleepObserved(milliseconds: number): Promise<void> {
    const startedAt = this.clock.now();
    await this.clock.sleep(milliseconds);
    this.timerLateness.record(this.clock.now() - startedAt - milliseconds);
  }

  private computeRemaining(
    step: (schedule: ShutdownSchedule) => number,
  ): number {
    const {elapsedMilliseconds, graceMilliseconds} = this;
    if (elapsedMilliseconds === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const schedule = computeShutdownSchedule({
      graceMilliseconds,
      latenessMilliseconds: this.timerLateness.expectedMilliseconds,
    });
    return step(schedule) - elapsedMilliseconds;
  }
}
