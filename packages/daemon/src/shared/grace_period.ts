/**
 * Time that a process has between a signal and its end.
 */
import type {Clock} from '@briarpin/coordination';

/** Default of the setting `shutdownGraceMilliseconds`. */
export const DEFAULT_SHUTDOWN_GRACE_MILLISECONDS = 30_000;
/** Time before the end of the period at which what is open is answered. */
const ANSWER_MARGIN_MILLISECONDS = 2_000;
/** Largest share of the period that the answers may take. */
const ANSWER_MARGIN_SHARE = 0.5;
/** Share of the answers' time that stays for the end of the process. */
const EXIT_MARGIN_SHARE = 0.25;

/**
 * Grace period of a process: its supervisor kills it when the period is over.
 *
 * The period begins with the first signal. A drain that an operator requests
 * does not begin it, because nobody kills the process then.
 */
export class GracePeriod {
  private readonly callbacks = new Set<() => void>();
  private hasStarted = false;
  private isAnswerDue = false;
  private isClosing = false;

  /**
   * @param clock - Clock of the process
   * @param milliseconds - Time from the signal to the SIGKILL
   */
  constructor(
    private readonly clock: Clock,
    private readonly milliseconds: number,
  ) {}

  /** True when whatever is open must be answered now, with a failure. */
  get areAnswersDue(): boolean {
    return this.isAnswerDue;
  }

  /** True when the process must close what is open and end. */
  get mustClose(): boolean {
    return this.isClosing;
  }

  /** Begins the period; later calls have no effect. */
  start(): void {
    if (!this.hasStarted) {
      this.hasStarted = true;
      void this.run();
    }
  }

  /**
   * Registers a callback for the time at which answers are due.
   *
   * @param callback - Called once; immediately when that time has come
   * @returns Removes the callback
   */
  onAnswersDue(callback: () => void): () => void {
    if (this.isAnswerDue) {
      callback();
      return () => undefined;
    }
    this.callbacks.add(callback);
    return () => this.callbacks.delete(callback);
  }

  private async run(): Promise<void> {
    const answerMargin = Math.min(
      ANSWER_MARGIN_MILLISECONDS,
      this.milliseconds * ANSWER_MARGIN_SHARE,
    );
    const exitMargin = answerMargin * EXIT_MARGIN_SHARE;
    await this.clock.sleep(this.milliseconds - answerMargin);
    this.isAnswerDue = true;
    const callbacks = [...this.callbacks];
    this.callbacks.clear();
    callbacks.forEach(callback => callback());
    await this.clock.sleep(answerMargin - exitMargin);
    this.isClosing = true;
  }
}
