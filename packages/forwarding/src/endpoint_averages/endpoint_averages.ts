/**
 * Moving averages of what the responses of endpoints show.
 */

/**
 * Smoothing factor of the exponential moving averages: weight of the newest
 * sample, 0 to 1.
 */
const AVERAGE_WEIGHT = 0.15;

/**
 * Half-life of an average: without new samples it decays to its neutral value.
 */
const AVERAGE_HALF_LIFE_MILLISECONDS = 3_000;

/**
 * Age at which averages are removed; they are neutral long before. The last
 * requests of an endpoint often end after it has left.
 */
const LIFETIME_MILLISECONDS = 60_000;

/**
 * Initial estimate of the prefill time per prompt token, in milliseconds, used
 * until first events have been observed. Assumes a chunked prefill that shares
 * its steps with running generations.
 */
const INITIAL_MILLISECONDS_PER_PROMPT_TOKEN = 0.15;

/** Bounds of an engine's prefill time relative to all engines. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 10;

/** Exponential moving averages of an endpoint's outcomes. */
interface Averages {
  failureShare: number;
  latencyMilliseconds: number;
  /** Prefill time per token relative to all engines; 1 is the average. */
  slowdown: number;
  updatedAt: number;
}

/** Averages of an endpoint, decayed to now. */
export interface CurrentAverages {
  /** Share of its recent answers that were failures, 0 to 1. */
  readonly failureShare: number;
  readonly latencyMilliseconds: number;
  /** Prefill time of one prompt token, on average over all engines. */
  readonly millisecondsPerPromptToken: number;
  /** Prefill time relative to all engines; 1 is the average. */
  readonly slowdown: number;
}

/**
 * Keeps moving averages of the failures and latencies of each endpoint, and of
 * its prefill time relative to all engines.
 */
export class EndpointAverages {
  private readonly averages = new Map<string, Averages>();
  private millisecondsPerPromptToken = INITIAL_MILLISECONDS_PER_PROMPT_TOKEN;

  /**
   * @param options - Monotonic clock, in milliseconds
   */
  constructor(private readonly options: {readonly now: () => number}) {}

  /** Number of endpoints with averages. */
  get size(): number {
    return this.averages.size;
  }

  /** Time to read one prompt token at an average engine. */
  get prefillMillisecondsPerToken(): number {
    return this.millisecondsPerPromptToken;
  }

  /**
   * Records the time to the first event of a generation.
   *
   * @param endpointId - Engine
   * @param promptTokens - Tokens of the prompt and of the prompts queued before
   *   it at the engine
   * @param milliseconds - Time since the request was sent
   */
  recordFirstEvent(
    endpointId: string,
    promptTokens: number,
    milliseconds: number,
  ): void {
    const averages = this.decay(endpointId);
    averages.failureShare -= AVERAGE_WEIGHT * averages.failureShare;
    if (promptTokens > 0) {
      const perToken = milliseconds / promptTokens;
      const ratio = perToken / this.millisecondsPerPromptToken;
      const bounded = Math.min(
        MAXIMUM_SLOWDOWN,
        Math.max(MINIMUM_SLOWDOWN, ratio),
      );
      averages.slowdown += AVERAGE_WEIGHT * (bounded - averages.slowdown);
      this.millisecondsPerPromptToken +=
        AVERAGE_WEIGHT * (perToken - this.millisecondsPerPromptToken);
    }
    this.store(endpointId, averages);
  }

  /**
   * Records the outcome of an attempt.
   *
   * @param endpointId - Endpoint that received the attempt
   * @param failed - True when the endpoint failed or rejected it
   * @param milliseconds - Response time; absent without a response
   */
  recordOutcome(
    endpointId: string,
    failed: boolean,
    milliseconds?: number,
  ): void {
    const averages = this.decay(endpointId);
    const weight = AVERAGE_WEIGHT;
    averages.failureShare +=
      weight * ((failed ? 1 : 0) - averages.failureShare);
    if (milliseconds !== undefined) {
      averages.latencyMilliseconds +=
        weight * (milliseconds - averages.latencyMilliseconds);
    }
    this.store(endpointId, averages);
  }

  /** Removes the averages of an endpoint. */
  remove(endpointId: string): void {
    this.averages.delete(endpointId);
  }

  /** Returns the averages of an endpoint as of now. */
  read(endpointId: string): CurrentAverages {
    const {failureShare, latencyMilliseconds, slowdown} =
      this.decay(endpointId);
    return {
      failureShare,
      latencyMilliseconds,
      millisecondsPerPromptToken: this.millisecondsPerPromptToken,
      slowdown,
    };
  }

  private store(endpointId: string, averages: Averages): void {
    if (!this.averages.has(endpointId)) {
      const oldest = this.options.now() - LIFETIME_MILLISECONDS;
      for (const [id, {updatedAt}] of this.averages) {
        if (updatedAt < oldest) {
          this.averages.delete(id);
        }
      }
    }
    this.averages.set(endpointId, averages);
  }

  private decay(endpointId: string): Averages {
    const now = this.options.now();
    const previous = this.averages.get(endpointId);
    if (previous === undefined) {
      return {
        failureShare: 0,
        latencyMilliseconds: 0,
        slowdown: 1,
        updatedAt: now,
      };
    }
    const remainingWeight =
      0.5 ** ((now - previous.updatedAt) / AVERAGE_HALF_LIFE_MILLISECONDS);
    return {
      failureShare: previous.failureShare * remainingWeight,
      latencyMilliseconds: previous.latencyMilliseconds * remainingWeight,
      slowdown: 1 + (previous.slowdown - 1) * remainingWeight,
      updatedAt: now,
    };
  }
}
