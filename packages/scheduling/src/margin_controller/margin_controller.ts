/**
 * Control of the admission margin from observed preemptions.
 */
import {
  MARGIN_TRANSIENT_DECAY_GENERATIONS,
  MARGIN_TRANSIENT_MAXIMUM_DEVIATIONS,
  MARGIN_TRANSIENT_STEP_DEVIATIONS,
  MARGIN_MAXIMUM_DEVIATIONS,
  MARGIN_MINIMUM_DEVIATIONS,
  MARGIN_PERSISTENT_STEP_DEVIATIONS,
} from '../constants.js';

/**
 * Adjusts the margin to reach a target rate of preemptions.
 *
 * The margin has two parts. The persistent part increases by a step with each
 * report of preemptions and decreases with each completed generation; the two
 * balance at the target rate. The transient part reacts to a burst, for example
 * when the lengths change, and decays within some hundred generations.
 */
export class MarginController {
  private persistent: number;
  private transient = 0;

  /**
   * @param initialDeviations - Initial margin, in standard deviations
   * @param targetPerThousand - Target of preemptions per 1,000 generations
   */
  constructor(
    initialDeviations: number,
    private targetPerThousand: number,
  ) {
    this.persistent = initialDeviations;
  }

  /** The margin, in standard deviations of the predicted peak. */
  get deviations(): number {
    return this.persistent + this.transient;
  }

  /** Sets the target, in preemptions per 1,000 generations. */
  setTarget(targetPerThousand: number): void {
    this.targetPerThousand = targetPerThousand;
  }

  /**
   * Records one report of preemptions.
   *
   * Generations that are suspended together have one cause, so they increase
   * the margin by one step.
   *
   * @param count - Preemptions since the last report
   */
  recordPreemptions(count: number): void {
    if (count <= 0) {
      return;
    }
    this.adjustPersistent(MARGIN_PERSISTENT_STEP_DEVIATIONS);
    this.transient = Math.min(
      MARGIN_TRANSIENT_MAXIMUM_DEVIATIONS,
      this.transient + MARGIN_TRANSIENT_STEP_DEVIATIONS,
    );
  }

  /** Records a completed generation. */
  recordCompletion(): void {
    this.adjustPersistent(
      (-MARGIN_PERSISTENT_STEP_DEVIATIONS * this.targetPerThousand) / 1_000,
    );
    this.transient *= 1 - 1 / MARGIN_TRANSIENT_DECAY_GENERATIONS;
  }

  private adjustPersistent(change: number): void {
    this.persistent = Math.min(
      MARGIN_MAXIMUM_DEVIATIONS,
      Math.max(MARGIN_MINIMUM_DEVIATIONS, this.persistent + change),
    );
  }
}
