/**
 * Small model of engines with slots and memory, for the tests of the admission.
 */
import type {EndpointState} from '../select_endpoint/select_endpoint.js';

/** Time to read one prompt token. */
export const PREFILL_MILLISECONDS_PER_TOKEN = 0.15;

/** Time between two events of four tokens. */
const EVENT_MILLISECONDS = 40;
const TOKENS_PER_EVENT = 4;

/** Time of one step of the model. */
export const STEP_MILLISECONDS = 10;

/** A generation in the model. */
export interface SimulatedRun {
  readonly id: string;
  readonly isUrgent: boolean;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time until its prompt has been read, in milliseconds. */
  remainingPrefill: number;
  producedTokens: number;
  preemptions: number;
  firstEventAt?: number;
  endedAt?: number;
}

/** Engine that preempts its newest run when its memory is full. */
export class ModelEngine {
  readonly waiting: SimulatedRun[] = [];
  running: SimulatedRun[] = [];

  constructor(
    readonly id: string,
    readonly slots = 24,
    readonly memoryTokens = 27_000,
  ) {}

  /** All runs that have been sent to the engine and have not ended. */
  get runs(): SimulatedRun[] {
    return [...this.running, ...this.waiting];
  }

  /** Sends a run to the engine. */
  add(run: SimulatedRun): void {
    this.waiting.push(run);
  }

  /** Returns the state that a gateway with complete reports sees. */
  readState(): EndpointState {
    const {runs} = this;
    const prefill = runs
      .filter(({firstEventAt}) => firstEventAt === undefined)
      .reduce((sum, run) => sum + run.remainingPrefill, 0);
    return {
      id: this.id,
      openRequests: runs.length,
      slots: this.slots,
      concurrencyLimit: this.slots,
      usedTokens: runs.reduce(
        (sum, run) => sum + run.promptTokens + run.outputTokens,
        0,
      ),
      memoryTokens: this.memoryTokens,
      evacuationShare: 0,
      copyMillisecondsPerToken: 0,
      roundTripMilliseconds: 1,
      failureShare: 0,
      waitMilliseconds: prefill,
    };
  }

  /** Advances the engine by one step that ends at a time. */
  step(now: number): void {
    while (this.waiting.length > 0 && this.running.length < this.slots) {
      const next = this.waiting[0] as SimulatedRun;
      if (this.usedMemory() + next.promptTokens > this.memoryTokens) {
        break;
      }
      this.running.push(this.waiting.shift() as SimulatedRun);
    }
    let budget = STEP_MILLISECONDS;
    for (const run of this.running) {
      const read = Math.min(budget, run.remainingPrefill);
      run.remainingPrefill -= read;
      budget -= read;
      if (run.remainingPrefill === 0) {
        run.firstEventAt ??= now;
        run.producedTokens +=
          (TOKENS_PER_EVENT * STEP_MILLISECONDS) / EVENT_MILLISECONDS;
        if (run.producedTokens >= run.outputTokens) {
          run.endedAt = now;
        }
      }
    }
    this.running = this.running.filter(({endedAt}) => endedAt === undefined);
    while (this.usedMemory() > this.memoryTokens) {
      const preempted = this.running.pop() as SimulatedRun;
      preempted.preemptions += 1;
      preempted.remainingPrefill =
        (preempted.promptTokens + preempted.producedTokens) *
        PREFILL_MILLISECONDS_PER_TOKEN;
      this.waiting.unshift(preempted);
    }
  }

  private usedMemory(): number {
    return this.running.reduce(
      (sum, run) => sum + run.promptTokens + run.producedTokens,
      0,
    );
  }
}
