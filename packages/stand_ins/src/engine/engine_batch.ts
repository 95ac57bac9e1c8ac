/**
 * Continuous batching with limited memory, as in model engines.
 */

/** Fraction of the memory reserved for the growth of running generations. */
const WATERMARK_SHARE = 0.01;

/** Generation in the batch of an engine. */
export interface BatchedGeneration {
  readonly id: string;
  /** Generations with larger values start first and are preempted last. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Final number of tokens, unknown to the scheduling of the batch. */
  readonly length: number;
  /** Tokens generated so far. */
  generated: number;
  /** Sequence number of arrival. */
  readonly arrival: number;
}

/** Result of one step. */
export interface BatchStep {
  /** Generations that produced a token. */
  readonly advanced: readonly BatchedGeneration[];
  readonly finished: readonly BatchedGeneration[];
  /** Generations that were preempted because memory was full. */
  readonly preempted: readonly BatchedGeneration[];
  /** Generations that started, or resumed after a preemption. */
  readonly started: readonly BatchedGeneration[];
}

/**
 * Batch of an engine.
 *
 * In each step every running generation produces one token and occupies memory
 * for one more. When memory is full, the generation with the lowest priority,
 * and among equals the latest arrival, is preempted: its memory is freed and
 * its tokens are recomputed when it resumes.
 */
export class EngineBatch {
  private readonly runningById = new Map<string, BatchedGeneration>();
  private waitingQueue: BatchedGeneration[] = [];
  private allocatedTokens = 0;
  private preemptionTotal = 0;

  /**
   * @param capacityTokens - Memory capacity in tokens
   */
  constructor(readonly capacityTokens: number) {}

  get runningCount(): number {
    return this.runningById.size;
  }

  get waitingCount(): number {
    return this.waitingQueue.length;
  }

  get usedTokens(): number {
    return this.allocatedTokens;
  }

  get preemptions(): number {
    return this.preemptionTotal;
  }

  /** Adds a generation to the queue for memory. */
  add(generation: BatchedGeneration): void {
    this.waitingQueue.push(generation);
  }

  /** Removes a generation, running or waiting. */
  remove(id: string): void {
    const running = this.runningById.get(id);
    if (running !== undefined) {
      this.release(running);
    }
    this.waitingQueue = this.waitingQueue.filter(other => other.id !== id);
  }

  /** Removes all generations and frees their memory. */
  clear(): void {
    this.runningById.clear();
    this.waitingQueue = [];
    this.allocatedTokens = 0;
  }

  /** Starts and preempts generations; each running one produces a token. */
  step(): BatchStep {
    const started = this.admitWaiting();
    const preempted = this.preemptUntilStepFits();
    const advanced: BatchedGeneration[] = [];
    const finished: BatchedGeneration[] = [];
    for (const generation of this.runningById.values()) {
      generation.generated += 1;
      this.allocatedTokens += 1;
      advanced.push(generation);
      if (generation.generated >= generation.length) {
        finished.push(generation);
      }
    }
    for (const generation of finished) {
      this.release(generation);
    }
    return {advanced, finished, preempted, started};
  }

  /** Memory limit for starting a generation; infinite when none is running. */
  private get admissionLimitTokens(): number {
    return this.runningById.size === 0
      ? Number.POSITIVE_INFINITY
      : this.capacityTokens * (1 - WATERMARK_SHARE);
  }

  private admitWaiting(): BatchedGeneration[] {
    if (this.waitingQueue.length === 0) {
      return [];
    }
    this.waitingQueue.sort(compareByPriority);
    const started: BatchedGeneration[] = [];
    for (;;) {
      const [first] = this.waitingQueue;
      const growth = this.runningById.size + 1;
      if (
        first === undefined ||
        this.allocatedTokens + countMemoryTokens(first) + growth >
          this.admissionLimitTokens
      ) {
        return started;
      }
      this.waitingQueue.shift();
      this.runningById.set(first.id, first);
      this.allocatedTokens += countMemoryTokens(first);
      started.push(first);
    }
  }

  private preemptUntilStepFits(): BatchedGeneration[] {
    const preempted: BatchedGeneration[] = [];
    while (
      this.runningById.size > 1 &&
      this.allocatedTokens + this.runningById.size > this.capacityTokens
    ) {
      const victim = this.selectPreemptionVictim();
      this.release(victim);
      this.waitingQueue.unshift(victim);
      this.preemptionTotal += 1;
      preempted.push(victim);
    }
    return preempted;
  }

  private selectPreemptionVictim(): BatchedGeneration {
    let victim: BatchedGeneration | undefined;
    for (const candidate of this.runningById.values()) {
      if (victim === undefined || compareByPriority(candidate, victim) > 0) {
        victim = candidate;
      }
    }
    return victim as BatchedGeneration;
  }

  private release(generation: BatchedGeneration): void {
    this.runningById.delete(generation.id);
    this.allocatedTokens -= countMemoryTokens(generation);
  }
}

function countMemoryTokens(generation: BatchedGeneration): number {
  return generation.promptTokens + generation.generated;
}

function compareByPriority(
  left: BatchedGeneration,
  right: BatchedGeneration,
): number {
  return right.priority - left.priority || left.arrival - right.arrival;
}
