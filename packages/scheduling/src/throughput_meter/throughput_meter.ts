/**
 * Measurement of the throughput of an engine.
 */
import {THROUGHPUT_WINDOW_MILLISECONDS} from '../constants.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Time per token until a throughput has been measured. */
const DEFAULT_STEP_MILLISECONDS = 50;

/**
 * Exponential moving average of the tokens generated per second.
 */
export class ThroughputMeter {
  /** The average; 0 while nothing has been measured. */
  private tokensPerMillisecond = 0;
  private pendingTokens = 0;
  private intervalStart = Number.NaN;

  /** Average throughput; 0 while nothing has been measured. */
  get tokensPerSecond(): number {
    return this.tokensPerMillisecond * MILLISECONDS_PER_SECOND;
  }

  /**
   * Records generated tokens.
   *
   * @param tokens - Number of tokens since the last call
   * @param now - Milliseconds since the epoch
   */
  record(tokens: number, now: number): void {
    if (Number.isNaN(this.intervalStart)) {
      this.intervalStart = now;
    }
    this.pendingTokens += tokens;
    const elapsed = now - this.intervalStart;
    if (elapsed < THROUGHPUT_WINDOW_MILLISECONDS / 20) {
      return;
    }
    const share = 1 - Math.exp(-elapsed / THROUGHPUT_WINDOW_MILLISECONDS);
    const current = this.pendingTokens / elapsed;
    this.tokensPerMillisecond =
      this.tokensPerMillisecond === 0
        ? current
        : this.tokensPerMillisecond +
          share * (current - this.tokensPerMillisecond);
    this.pendingTokens = 0;
    this.intervalStart = now;
  }

  /**
   * Predicts the time in which the engine generates a number of tokens.
   *
   * @param tokens - Number of tokens, over all generations
   * @returns Milliseconds; 0 while nothing has been measured
   */
  predictTime(tokens: number): number {
    return this.tokensPerMillisecond === 0
      ? 0
      : tokens / this.tokensPerMillisecond;
  }

  /**
   * Estimates the time between two successive tokens of one generation.
   *
   * @param running - Number of generations that run concurrently
   * @returns Milliseconds
   */
  millisecondsPerStep(running: number): number {
    return this.tokensPerMillisecond === 0
      ? DEFAULT_STEP_MILLISECONDS
      : running / this.tokensPerMillisecond;
  }
}
