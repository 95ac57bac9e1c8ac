/**
 * One generation of the evacuation benchmark.
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
} from './evacuation_scene.js';

/** An engine as its generations see it. */
export interface SimulatedEngine {
  usedTokens: number;
  hasLeft: boolean;
  /** Tokens of each generation whose memory was copied here. */
  readonly copies: Map<string, number>;
}

/** The engines that a generation may run on. */
export interface SimulatedEngines {
  readonly clock: Clock;
  readonly policy: EvacuationPolicy;
  readonly profile: EngineProfile;
  readonly engine: (id: string) => SimulatedEngine | undefined;
  /** Engines that have room for a generation to its end. */
  readonly findRoom: (tokens: number) => readonly EndpointEntry[];
  /** True when an engine is there until a moment; only an oracle knows. */
  readonly lasts: (id: string, until: number) => boolean;
}

/** The gateway that a generation came to. */
export interface SimulatedGateway {
  readonly parts: ForwardingContext;
  readonly streams: Set<SimulatedStream>;
}

interface StreamLengths {
  readonly outputTokens: number;
  /** What the caller's estimate is off by. */
  readonly estimateFactor: number;
}

/** One generation, over all engines that it runs on. */
export class SimulatedStream implements EvacuatedStream {
  end: 'whole' | 'cut' | 'refused' | undefined;
  longestGap = 0;
  readonly dependsOnEngine = true;
  private leg: MovingEndpointStream | undefined;
  private produced = 0;
  private runningSince = 0;
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
    this.mover = new RunMover(this.exchange, gateway.parts, {
      endpointStream: () => this.leg,
      eventCount: () => Math.floor(this.currentTokens() / TOKENS_PER_EVENT),
    });
  }

  get endpointId(): string | undefined {
    return this.leg?.endpoint.id;
  }

  get hasCopyableMemory(): boolean {
    return this.leg !== undefined && this.currentTokens() > 0;
  }

  get isMovable(): boolean {
    return this.mover.isMovable;
  }

  get expectedRemainingTokens(): number {
    return this.expectedTokens - this.currentTokens();
  }

  /** Memory that it takes at its end, in tokens. */
  private get wholeTokens(): number {
    return PROMPT_TOKENS + Math.round(this.lengths.outputTokens);
  }

  /** Memory that it takes now, in tokens. */
  get tokens(): number {
    return PROMPT_TOKENS + Math.floor(this.currentTokens());
  }

  moveAway(source: EndpointEntry, isAlone: boolean): Promise<void> {
    return this.mover.moveAway(source, isAlone);
  }

  /** The engine stops it for the last copy. */
  stopRun(): void {
    this.interrupt?.();
  }

  noteLeft(endpointId: string): void {
    if (this.endpointId === endpointId) {
      this.interrupt?.();
    }
  }

  async run(): Promise<void> {
    const {clock} = this.simulation;
    let endpoint = this.place();
    if (endpoint === undefined) {
      this.finish('refused');
      return;
    }
    await clock.sleep(PREFILL_MILLISECONDS);
    while (endpoint !== undefined) {
      const interruptedAt = await this.runAt(endpoint);
      if (interruptedAt === undefined) {
        this.finish('whole');
        return;
      }
      endpoint = await this.findNext(endpoint);
      this.longestGap = Math.max(this.longestGap, clock.now() - interruptedAt);
    }
    this.finish('cut');
  }

  /** Where it goes on after an interruption; undefined when it is lost. */
  private async findNext(
    source: EndpointEntry,
  ): Promise<EndpointEntry | undefined> {
    const moved = await this.mover.waitForStoppedRun();
    // To the engine and back with the first event.
    await this.simulation.clock.sleep(HOP_MILLISECONDS * 2);
    if (moved?.kind === 'stopped_at_source') {
      const isThere = this.simulation.engine(source.id)?.hasLeft === false;
      return isThere ? source : undefined;
    }
    return moved?.target;
  }

  /**
   * Runs at an engine until it is whole or interrupted.
   *
   * @returns When it was interrupted; undefined when it is whole
   */
  private async runAt(endpoint: EndpointEntry): Promise<number | undefined> {
    const {clock} = this.simulation;
    const engine = this.simulation.engine(endpoint.id);
    if (engine === undefined || engine.hasLeft) {
      return clock.now();
    }
    const work = {requests: 1, tokens: PROMPT_TOKENS + this.expectedTokens};
    const {loads} = this.gateway.parts;
    loads.add(endpoint.id, work);
    const copied = engine.copies.get(this.id) ?? 0;
    engine.copies.delete(this.id);
    const reserved = this.wholeTokens;
    engine.usedTokens += reserved - copied;
    this.leg = {endpoint, checkpointHolder: undefined};
    this.runningSince = clock.now();
    const ended = new AbortController();
    const interrupted = new Promise<number>(resolve => {
      this.interrupt = () => resolve(clock.now());
    });
    const left = this.lengths.outputTokens - this.produced;
    const at = await Promise.race([
      interrupted,
      clock.sleep(left * MILLISECONDS_PER_TOKEN, ended.signal),
    ]);
    this.produced = this.currentTokens();
    this.leg = undefined;
    ended.abort();
    this.interrupt = undefined;
    engine.usedTokens -= reserved;
    loads.remove(endpoint.id, work);
    return at ?? undefined;
  }

  private finish(end: 'whole' | 'cut' | 'refused'): void {
    this.end = end;
    this.mover.discardMove();
    this.gateway.streams.delete(this);
  }

  private currentTokens(): number {
    const running =
      this.leg === undefined
        ? 0
        : (this.simulation.clock.now() - this.runningSince) /
          MILLISECONDS_PER_TOKEN;
    return Math.min(this.lengths.outputTokens, this.produced + running);
  }

  private place(): EndpointEntry | undefined {
    const {simulation, exchange, gateway} = this;
    const until =
      simulation.clock.now() +
      PREFILL_MILLISECONDS +
      this.lengths.outputTokens * MILLISECONDS_PER_TOKEN;
    const ready = simulation.findRoom(this.wholeTokens);
    const lasting =
      simulation.policy === 'oracle'
        ? ready.filter(({id}) => simulation.lasts(id, until))
        : [];
    const candidates = lasting.length > 0 ? lasting : ready;
    return chooseEngine(exchange, gateway.parts, candidates)?.entry;
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
