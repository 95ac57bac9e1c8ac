/**
 * Progress of the graceful shutdown of a gateway.
 */
import type {Clock} from '@briarpin/coordination';
import {
  computeShutdownSchedule,
  type ShutdownSchedule,
} from '@briarpin/scheduling';

/** Interval at which a wait checks its condition. */
const POLL_MILLISECONDS = 20;

/** Tells the parts of a gateway whether it shuts down, and when it ends. */
export class Shutdown {
  private startedAt: number | undefined;
  private graceMilliseconds = Number.POSITIVE_INFINITY;
  private latenessMilliseconds = 0;

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
    return this.computeRemaining(schedule => schedule.answerMilliseconds);
  }

  /** Time until the process ends; infinite while none is planned. */
  get remainingMilliseconds(): number {
    return this.computeRemaining(schedule => schedule.closeMilliseconds);
  }

  /**
   * Records that the gateway was asked to stop.
   *
   * @param graceMilliseconds - Time until the process is ended by force
   */
  begin(graceMilliseconds: number): void {
    this.startedAt = this.clock.now();
    this.graceMilliseconds = graceMilliseconds;
  }

  /**
   * Waits for a step of the shutdown, and observes how late timers are.
   *
   * @param remaining - Time until the step
   * @param isDone - Ends the wait early when it returns true
   */
  async waitUntil(
    remaining: () => number,
    isDone: () => boolean = () => false,
  ): Promise<void> {
    while (!isDone() && remaining() > 0) {
      const pause = Math.min(POLL_MILLISECONDS, remaining());
      const sleepsAt = this.clock.now();
      await this.clock.sleep(pause);
      const lateness = this.clock.now() - sleepsAt - pause;
      this.latenessMilliseconds = Math.max(this.latenessMilliseconds, lateness);
    }
  }

  private computeRemaining(
    step: (schedule: ShutdownSchedule) => number,
  ): number {
    const {elapsedMilliseconds, graceMilliseconds, latenessMilliseconds} = this;
    if (elapsedMilliseconds === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const schedule = computeShutdownSchedule({
      graceMilliseconds,
      latenessMilliseconds,
    });
    return step(schedule) - elapsedMilliseconds;
  }
}
