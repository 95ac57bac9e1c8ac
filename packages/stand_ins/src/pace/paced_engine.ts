/**
 * Simulated engine that works at its own pace, with short slow phases.
 */
import type {EndpointEntry} from '@briarpin/coordination';

/** Time of a step without requests, and added by each one. */
const STEP_MILLISECONDS = 7;
const STEP_MILLISECONDS_PER_REQUEST = 0.12;

/** Prompt tokens that are read in one step, and the time that this adds. */
const CHUNK_TOKENS = 112;
const CHUNK_MILLISECONDS = 8;

/** Factor, duration and share of the time of slow phases. */
const SLOW_PHASE_FACTOR = 2.5;
const SLOW_PHASE_MILLISECONDS = 100;
const SLOW_PHASE_SHARE = 0.15;
const SLOW_PHASE_PERIOD = SLOW_PHASE_MILLISECONDS / SLOW_PHASE_SHARE;

/** Tokens of one event. */
export const TOKENS_PER_EVENT = 4;

/** One generation at an engine. */
export interface PacedRun {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens that were read. */
  readTokens: number;
  producedTokens: number;
  readonly onEvent: () => void;
  readonly onEnd: (outcome: 'done' | 'interrupted') => void;
}

/** Options of {@link PacedEngine}. */
export interface PacedEngineOptions {
  readonly entry: EndpointEntry;
  readonly memoryTokens: number;
  /** Time of its steps relative to the usual time. */
  readonly factor: number;
  /** False for engines without slow phases. */
  readonly hasSlowPhases: boolean;
  /** Start of its first slow phase, in milliseconds. */
  readonly phaseOffset: number;
}

/** Engine that runs a batch in steps, and preempts when its memory is full. */
export class PacedEngine {
  readonly entry: EndpointEntry;
  /** Time of its steps relative to the usual time; may change. */
  factor: number;
  /** Whether it takes requests. */
  isUp = true;
  preemptions = 0;
  /** Share of the requests that it refuses, while its health is good. */
  failureShare = 0;
  private waiting: PacedRun[] = [];
  private running: PacedRun[] = [];
  private stepEndsAt = 0;

  /**
   * @param options - Size and pace
   */
  constructor(private readonly options: PacedEngineOptions) {
    this.entry = options.entry;
    this.factor = options.factor;
  }

  /** Number of requests that run or wait. */
  get openRuns(): number {
    return this.running.length + this.waiting.length;
  }

  /** Pace that its responses state, in percent. */
  statePace(now: number): number {
    return this.isInSlowPhase(now) ? SLOW_PHASE_FACTOR * 100 : 100;
  }

  /** Adds a generation. */
  submit(run: PacedRun): void {
    this.waiting.push(run);
  }

  /** Interrupts all generations, and takes none until it is up again. */
  stop(): void {
    this.isUp = false;
    const interrupted = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    interrupted.forEach(run => run.onEnd('interrupted'));
  }

  /** Advances to a time, in milliseconds. */
  advance(now: number): void {
    if (now < this.stepEndsAt || this.openRuns === 0) {
      return;
    }
    this.completeStep();
    this.startRuns();
    this.stepEndsAt = Math.max(now, this.stepEndsAt) + this.computeStep(now);
  }

  private completeStep(): void {
    const reading = this.findReading();
    if (reading !== undefined) {
      reading.readTokens += CHUNK_TOKENS;
    }
    for (const run of [...this.running]) {
      if (run === reading || run.readTokens < run.promptTokens) {
        continue;
      }
      run.producedTokens += 1;
      const isLast = run.producedTokens >= run.outputTokens;
      if (isLast || run.producedTokens % TOKENS_PER_EVENT === 0) {
        run.onEvent();
      }
      if (isLast) {
        this.running = this.running.filter(other => other !== run);
        run.onEnd('done');
      }
    }
    this.preempt();
  }

  private startRuns(): void {
    const {entry, memoryTokens} = this.options;
    let next = this.waiting[0];
    while (
      next !== undefined &&
      this.running.length < entry.slots &&
      this.countUsedTokens() + next.promptTokens <= memoryTokens
    ) {
      this.waiting.shift();
      this.running.push(next);
      next = this.waiting[0];
    }
  }

  /** Frees the memory of the newest generations until the others fit. */
  private preempt(): void {
    while (
      this.countUsedTokens() > this.options.memoryTokens &&
      this.running.length > 1
    ) {
      const run = this.running.pop();
      if (run !== undefined) {
        run.readTokens = 0;
        this.preemptions += 1;
        this.waiting.unshift(run);
      }
    }
  }

  private findReading(): PacedRun | undefined {
    return this.running.find(run => run.readTokens < run.promptTokens);
  }

  private countUsedTokens(): number {
    return this.running.reduce(
      (sum, run) => sum + run.promptTokens + run.producedTokens,
      0,
    );
  }

  private computeStep(now: number): number {
    const isReading = this.findReading() !== undefined;
    const milliseconds =
      STEP_MILLISECONDS +
      this.running.length * STEP_MILLISECONDS_PER_REQUEST +
      (isReading ? CHUNK_MILLISECONDS : 0);
    const slowdown = this.isInSlowPhase(now) ? SLOW_PHASE_FACTOR : 1;
    return milliseconds * this.factor * slowdown;
  }

  private isInSlowPhase(now: number): boolean {
    const {hasSlowPhases, phaseOffset} = this.options;
    const position = (now + phaseOffset) % SLOW_PHASE_PERIOD;
    return hasSlowPhases && position < SLOW_PHASE_MILLISECONDS;
  }
}
