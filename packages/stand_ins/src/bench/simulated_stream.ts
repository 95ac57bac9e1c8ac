/**
 * Simulated generation of the evacuation benchmark.
 */
import type {
  Clock,
  EndpointEntry,
  EngineProfile,
  RoutedService,
} from '@briarpin/coordination';
import {
  chooseEngine,
  RunMover,
  type EvacuatedStream,
  type Exchange,
  type ForwardingContext,
  type MovingEndpointStream,
} from '@briarpin/forwarding';

import {
  PROMPT_TOKENS,
  MILLISECONDS_PER_TOKEN,
  PREFILL_MILLISECONDS,
  HOP_MILLISECONDS,
  TARGET_GAP_MILLISECONDS,
  TOKENS_PER_EVENT,
  SERVICE,
  type EvacuationPolicy,
} from './evacuation_scenario.js';

/** State of an engine that its generations use. */
export interface SimulatedEngine {
  usedTokens: number;
  isTerminated: boolean;
  /** Number of copied tokens, by generation. */
  readonly copies: Map<string, number>;
}

/** The engines that a generation may run on. */
export interface SimulatedEngines {
  readonly clock: Clock;
  readonly policy: EvacuationPolicy;
  readonly profile: EngineProfile;
  readonly findEngine: (id: string) => SimulatedEngine | undefined;
  /** Finds ready engines with enough memory for a complete generation. */
  readonly findWithCapacity: (tokens: number) => readonly EndpointEntry[];
  /** Checks that an engine does not terminate before a time; oracle only. */
  readonly isAvailableUntil: (id: string, until: number) => boolean;
}

/** The gateway that serves a generation. */
export interface SimulatedGateway {
  readonly context: ForwardingContext;
  readonly streams: Set<SimulatedStream>;
}

interface StreamLengths {
  readonly outputTokens: number;
  /** Ratio of the caller's estimate to the actual length. */
  readonly estimateFactor: number;
}

/** One generation across all engines that it runs on. */
export class SimulatedStream implements EvacuatedStream {
  outcome: 'whole' | 'cut' | 'refused' | undefined;
  longestGapMilliseconds = 0;
  readonly dependsOnEngine = true;
  private endpointStream: MovingEndpointStream | undefined;
  private producedTokens = 0;
  private runStartedAt = 0;
  private interrupt: (() => void) | undefined;
  private readonly mover: RunMover;
  private readonly exchange: Exchange;
  private readonly expectedTokens: number;

  constructor(
    readonly id: string,
    private readonly gateway: SimulatedGateway,
    private readonly simulation: SimulatedEngines,
    private readonly lengths: StreamLengths,
  ) {
    this.expectedTokens = Math.round(
      lengths.outputTokens * lengths.estimateFactor,
    );
    this.exchange = this.createExchange();
    this.mover = new RunMover(this.exchange, gateway.context, {
      endpointStream: () => this.endpointStream,
      eventCount: () => Math.floor(this.countOutputTokens() / TOKENS_PER_EVENT),
    });
  }

  get endpointId(): string | undefined {
    return this.endpointStream?.endpoint.id;
  }

  get hasCopyableMemory(): boolean {
    return this.endpointStream !== undefined && this.countOutputTokens() > 0;
  }

  get isMovable(): boolean {
    return this.mover.isMovable;
  }

  get expectedRemainingTokens(): number {
    return this.expectedTokens - this.countOutputTokens();
  }

  /** Memory use at the end of the generation, in tokens. */
  private get finalMemoryTokens(): number {
    return PROMPT_TOKENS + Math.round(this.lengths.outputTokens);
  }

  /** Current memory use, in tokens. */
  get memoryTokens(): number {
    return PROMPT_TOKENS + Math.floor(this.countOutputTokens());
  }

  moveAway(source: EndpointEntry, isOnlyRun: boolean): Promise<void> {
    return this.mover.moveAway(source, isOnlyRun);
  }

  /** Interrupts the run for the last copy. */
  stopRun(): void {
    this.interrupt?.();
  }

  handleTermination(endpointId: string): void {
    if (this.endpointId === endpointId) {
      this.interrupt?.();
    }
  }

  async run(): Promise<void> {
    const {clock} = this.simulation;
    let endpoint = this.selectEngine();
    if (endpoint === undefined) {
      this.complete('refused');
      return;
    }
    await clock.sleep(PREFILL_MILLISECONDS);
    while (endpoint !== undefined) {
      const interruptedAt = await this.runOnEngine(endpoint);
      if (interruptedAt === undefined) {
        this.complete('whole');
        return;
      }
      endpoint = await this.findNextEndpoint(endpoint);
      this.longestGapMilliseconds = Math.max(
        this.longestGapMilliseconds,
        clock.now() - interruptedAt,
      );
    }
    this.complete('cut');
  }

  /** Finds the engine that resumes the run; undefined if the run is cut. */
  private async findNextEndpoint(
    source: EndpointEntry,
  ): Promise<EndpointEntry | undefined> {
    const stoppedRun = await this.mover.waitForStoppedRun();
    // One hop for the call to the engine, one for its first event.
    await this.simulation.clock.sleep(HOP_MILLISECONDS * 2);
    if (stoppedRun?.kind === 'stopped_at_source') {
      const isAvailable =
        this.simulation.findEngine(source.id)?.isTerminated === false;
      return isAvailable ? source : undefined;
    }
    return stoppedRun?.target;
  }

  /**
   * Runs on an engine until the generation completes or is interrupted.
   *
   * @returns Time of the interruption; undefined if the generation completed
   */
  private async runOnEngine(
    endpoint: EndpointEntry,
  ): Promise<number | undefined> {
    const {clock} = this.simulation;
    const engine = this.simulation.findEngine(endpoint.id);
    if (engine === undefined || engine.isTerminated) {
      return clock.now();
    }
    const load = {requests: 1, tokens: PROMPT_TOKENS + this.expectedTokens};
    const {loads} = this.gateway.context;
    loads.add(endpoint.id, load);
    const copiedTokens = engine.copies.get(this.id) ?? 0;
    engine.copies.delete(this.id);
    const reservedTokens = this.finalMemoryTokens;
    engine.usedTokens += reservedTokens - copiedTokens;
    this.endpointStream = {endpoint, checkpointHolder: undefined};
    this.runStartedAt = clock.now();
    const abortController = new AbortController();
    const interrupted = new Promise<number>(resolve => {
      this.interrupt = () => resolve(clock.now());
    });
    const remainingTokens = this.lengths.outputTokens - this.producedTokens;
    const interruptedAt = await Promise.race([
      interrupted,
      clock.sleep(
        remainingTokens * MILLISECONDS_PER_TOKEN,
        abortController.signal,
      ),
    ]);
    this.producedTokens = this.countOutputTokens();
    this.endpointStream = undefined;
    abortController.abort();
    this.interrupt = undefined;
    engine.usedTokens -= reservedTokens;
    loads.remove(endpoint.id, load);
    return interruptedAt ?? undefined;
  }

  private complete(outcome: 'whole' | 'cut' | 'refused'): void {
    this.outcome = outcome;
    this.mover.discardMove();
    this.gateway.streams.delete(this);
  }

  private countOutputTokens(): number {
    const generatedTokens =
      this.endpointStream === undefined
        ? 0
        : (this.simulation.clock.now() - this.runStartedAt) /
          MILLISECONDS_PER_TOKEN;
    return Math.min(
      this.lengths.outputTokens,
      this.producedTokens + generatedTokens,
    );
  }

  private selectEngine(): EndpointEntry | undefined {
    const {simulation, exchange, gateway} = this;
    const until =
      simulation.clock.now() +
      PREFILL_MILLISECONDS +
      this.lengths.outputTokens * MILLISECONDS_PER_TOKEN;
    const ready = simulation.findWithCapacity(this.finalMemoryTokens);
    const longLived =
      simulation.policy === 'oracle'
        ? ready.filter(({id}) => simulation.isAvailableUntil(id, until))
        : [];
    const ids = (longLived.length > 0 ? longLived : ready).map(({id}) => id);
    const candidates = gateway.context.eligibility
      .find(exchange)
      .filter(({id}) => ids.includes(id));
    return chooseEngine(exchange, gateway.context, candidates)?.entry;
  }

  private createExchange(): Exchange {
    const service: Partial<RoutedService> = {
      name: SERVICE,
      engine: this.simulation.profile,
    };
    return {
      metadata: {
        requestId: this.id,
        promptTokens: PROMPT_TOKENS,
        maximumOutputTokens: 0,
        estimatedOutputTokens: this.expectedTokens,
        promptParts: [],
      },
      route: {targetGapMilliseconds: TARGET_GAP_MILLISECONDS},
      service,
    } as unknown as Exchange;
  }
}
