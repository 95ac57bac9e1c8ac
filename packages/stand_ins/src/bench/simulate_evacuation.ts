/**
 * Engines that leave in waves, in virtual time, with the gateway's own code for
 * placing and moving.
 */
import {
  VirtualClock,
  type EndpointEntry,
  type EngineProfile,
} from '@briarpin/coordination';
import {
  EndpointLoads,
  EvacuationTurn,
  Evacuator,
  type Dialect,
  type ForwardingContext,
  type MoveCall,
  type MoveOutcome,
} from '@briarpin/forwarding';

import {
  PLAYED_MILLISECONDS,
  WAVE_INTERVAL_MILLISECONDS,
  FIRST_WAVE_MILLISECONDS,
  REPLACEMENT_MILLISECONDS,
  MEMORY_TOKENS,
  PROMPT_TOKENS,
  MEDIAN_OUTPUT_TOKENS,
  OUTPUT_SIGMA,
  ESTIMATE_SIGMA,
  MILLISECONDS_PER_TOKEN,
  PREFILL_MILLISECONDS,
  HOP_MILLISECONDS,
  TARGET_GAP_MILLISECONDS,
  TOKENS_PER_EVENT,
  SLOTS,
  SERVICE,
  OTHER_ZONE_FACTOR,
  ZONES_PER_REGION,
  type EvacuationFigures,
  type EvacuationPolicy,
  type EvacuationScene,
} from './evacuation_scene.js';
import {
  createRandom,
  drawExponential,
  drawLogNormal,
  type Random,
} from './seeded_random.js';
import {
  SimulatedStream,
  type SimulatedEngine,
  type SimulatedEngines,
  type SimulatedGateway,
} from './simulated_stream.js';

interface Engine extends SimulatedEngine {
  readonly entry: EndpointEntry;
  /** When its link is free for the next copy. */
  linkFreeAt: number;
  leavesAt: number;
}

/** Plays one scene. */
export async function simulateEvacuation(
  scene: EvacuationScene,
  policy: EvacuationPolicy,
  seed: number,
): Promise<EvacuationFigures> {
  const simulation = new EvacuationSimulation(scene, policy, seed);
  return simulation.run();
}

class EvacuationSimulation implements SimulatedEngines {
  readonly clock = new VirtualClock();
  readonly profile: EngineProfile;
  /** Draws of their own, so that all policies meet the same arrivals. */
  private readonly arrivals: Random;
  private readonly leavings: Random;
  private readonly engines = new Map<string, Engine>();
  private readonly streams: SimulatedStream[] = [];
  private readonly gateways: Gateway[];
  private engineCount = 0;

  constructor(
    readonly scene: EvacuationScene,
    readonly policy: EvacuationPolicy,
    seed: number,
  ) {
    this.arrivals = createRandom(seed);
    this.leavings = createRandom(seed + 1);
    const decisions = createRandom(seed + 2);
    this.profile = {
      slots: SLOTS,
      memoryTokens: MEMORY_TOKENS,
      bytesPerToken: 327_680,
      copyLinkMegabitsPerSecond: scene.linkMegabitsPerSecond,
      supportsMoves: true,
      supportsCheckpoints: false,
      tokensPerEvent: TOKENS_PER_EVENT,
      copyLifetimeMilliseconds: 5_000,
    };
    this.gateways = Array.from(
      {length: scene.gateways},
      (_, index) => new Gateway(`gateway-${index}`, this, decisions),
    );
    for (let index = 0; index < scene.engines; index += 1) {
      this.addEngine(`zone-${index % scene.availabilityZones}`);
    }
  }

  async run(): Promise<EvacuationFigures> {
    void this.playArrivals();
    void this.playWaves();
    await this.clock.advance(PLAYED_MILLISECONDS);
    const ended = this.streams.filter(
      ({end}) => end === 'whole' || end === 'cut',
    );
    const whole = ended.filter(({end}) => end === 'whole');
    const smooth = whole.filter(
      ({longestGap}) => longestGap <= TARGET_GAP_MILLISECONDS,
    );
    return {
      generations: ended.length,
      refused: this.streams.filter(({end}) => end === 'refused').length,
      wholeShare: whole.length / ended.length,
      smoothShare: smooth.length / ended.length,
    };
  }

  /** Engines that have room for a generation to its end. */
  findRoom(tokens: number): EndpointEntry[] {
    return this.findReady().filter(({id}) => {
      const used = this.engines.get(id)?.usedTokens ?? MEMORY_TOKENS;
      return used + tokens <= MEMORY_TOKENS;
    });
  }

  findReady(): EndpointEntry[] {
    const now = this.clock.now();
    return [...this.engines.values()]
      .filter(({hasLeft, leavesAt}) => {
        const noticeAt = leavesAt - this.scene.noticeMilliseconds;
        return !hasLeft && now < noticeAt;
      })
      .map(({entry}) => entry);
  }

  /** True when an engine is there until a moment; only an oracle knows. */
  lasts(id: string, until: number): boolean {
    return (this.engines.get(id)?.leavesAt ?? 0) > until;
  }

  engine(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  async copy(call: MoveCall): Promise<MoveOutcome> {
    const {clock} = this;
    await clock.sleep(HOP_MILLISECONDS);
    const source = this.engines.get(call.source.host);
    const target = this.engines.get(call.target.host);
    const stream = this.streams.find(({id}) => id === call.requestId);
    if (source === undefined || source.hasLeft) {
      return {kind: 'unknown', message: 'the engine has left'};
    }
    if (stream === undefined || stream.endpointId !== source.entry.id) {
      return {kind: 'not_running'};
    }
    const known = target?.copies.get(stream.id) ?? 0;
    const tokens = stream.tokens;
    const hasRoom =
      target !== undefined &&
      !target.hasLeft &&
      target.usedTokens + tokens - known <= MEMORY_TOKENS;
    if (!hasRoom) {
      await clock.sleep(HOP_MILLISECONDS);
      return {kind: 'no_room'};
    }
    if (call.stop) {
      stream.stopRun();
    }
    target.usedTokens += tokens - known;
    target.copies.set(stream.id, tokens);
    const end = this.reserveLinks(source, target, tokens - known);
    await clock.sleep(end - clock.now());
    if (source.hasLeft) {
      return {kind: 'unknown', message: 'the engine has left'};
    }
    await clock.sleep(HOP_MILLISECONDS);
    return {kind: 'copied', handle: stream.id, events: 0};
  }

  private reserveLinks(source: Engine, target: Engine, tokens: number): number {
    const isNear =
      source.entry.availabilityZone === target.entry.availabilityZone;
    const bits = tokens * this.profile.bytesPerToken * 8;
    const duration =
      (bits / (this.scene.linkMegabitsPerSecond * 1_000)) *
      (isNear ? 1 : OTHER_ZONE_FACTOR);
    const start = Math.max(
      this.clock.now(),
      source.linkFreeAt,
      target.linkFreeAt,
    );
    source.linkFreeAt = start + duration;
    target.linkFreeAt = start + duration;
    return start + duration;
  }

  private addEngine(availabilityZone: string): void {
    this.engineCount += 1;
    const id = `engine-${this.engineCount}`;
    const entry: EndpointEntry = {
      id,
      service: SERVICE,
      host: id,
      port: 1,
      availabilityZone,
      state: 'ready',
      slots: SLOTS,
      coldMilliseconds: 0,
    };
    this.engines.set(id, {
      entry,
      linkFreeAt: 0,
      usedTokens: 0,
      leavesAt: this.drawLeaving(),
      hasLeft: false,
      copies: new Map(),
    });
  }

  /** Draws the wave with which an engine leaves, so that all are known. */
  private drawLeaving(): number {
    const {leavingShare, noticeMilliseconds} = this.scene;
    const now = this.clock.now();
    const wave = Math.max(
      0,
      Math.ceil((now - FIRST_WAVE_MILLISECONDS) / WAVE_INTERVAL_MILLISECONDS),
    );
    const waves = Math.floor(
      Math.log(1 - this.leavings()) / Math.log(1 - leavingShare),
    );
    return (
      FIRST_WAVE_MILLISECONDS +
      (wave + waves) * WAVE_INTERVAL_MILLISECONDS +
      noticeMilliseconds
    );
  }

  private async playWaves(): Promise<void> {
    const {clock, scene} = this;
    await clock.sleep(FIRST_WAVE_MILLISECONDS);
    while (clock.now() < PLAYED_MILLISECONDS) {
      const noticed = clock.now() + scene.noticeMilliseconds;
      for (const engine of [...this.engines.values()]) {
        if (!engine.hasLeft && engine.leavesAt <= noticed) {
          void this.playLeaving(engine);
        }
      }
      await clock.sleep(WAVE_INTERVAL_MILLISECONDS);
    }
  }

  private async playLeaving(engine: Engine): Promise<void> {
    const {clock} = this;
    if (this.policy === 'in_turn' || this.policy === 'at_once') {
      this.gateways.forEach(gateway => void gateway.evacuate(engine.entry));
    }
    await clock.sleep(engine.leavesAt - clock.now());
    engine.hasLeft = true;
    this.streams.forEach(stream => stream.noteLeft(engine.entry.id));
    await clock.sleep(REPLACEMENT_MILLISECONDS);
    this.addEngine(engine.entry.availabilityZone);
  }

  private async playArrivals(): Promise<void> {
    const {clock, scene, arrivals: random} = this;
    const tokens = PROMPT_TOKENS + MEDIAN_OUTPUT_TOKENS / 2;
    const concurrent =
      (scene.memoryShare * scene.engines * MEMORY_TOKENS) / tokens;
    const mean =
      (MEDIAN_OUTPUT_TOKENS * MILLISECONDS_PER_TOKEN + PREFILL_MILLISECONDS) /
      concurrent;
    for (let index = 0; clock.now() < PLAYED_MILLISECONDS; index += 1) {
      const gateway = this.gateways[index % this.gateways.length] as Gateway;
      const stream = new SimulatedStream(`stream-${index}`, gateway, this, {
        outputTokens: drawLogNormal(random, MEDIAN_OUTPUT_TOKENS, OUTPUT_SIGMA),
        estimateFactor: drawLogNormal(random, 1, ESTIMATE_SIGMA),
      });
      this.streams.push(stream);
      gateway.streams.add(stream);
      void stream.run();
      await clock.sleep(drawExponential(random, mean));
    }
  }

  /** Runs of other gateways at an engine that they still want to move. */
  findPeersWithRuns(gateway: string, endpointId: string) {
    return this.gateways
      .filter(({name}) => name !== gateway)
      .map(({name, evacuator}) => ({
        gateway: name,
        movableRuns: evacuator.countMovableRuns().get(endpointId) ?? 0,
        ageMilliseconds: 0,
      }))
      .filter(({movableRuns}) => movableRuns > 0);
  }
}

/** One gateway: its streams, and what it places and moves them with. */
class Gateway implements SimulatedGateway {
  readonly streams = new Set<SimulatedStream>();
  readonly parts: ForwardingContext;
  readonly evacuator: Evacuator;

  constructor(
    readonly name: string,
    private readonly simulation: EvacuationSimulation,
    random: Random,
  ) {
    this.parts = createParts(simulation, random);
    this.evacuator = new Evacuator(this.streams, this.parts);
  }

  async evacuate(entry: EndpointEntry): Promise<void> {
    const {simulation, name} = this;
    const turn = new EvacuationTurn(
      entry.id,
      {
        gateway: name,
        findPeersWithRuns: id => simulation.findPeersWithRuns(name, id),
      },
      simulation.clock,
    );
    const always = {mayCopy: () => true, isOnlyGateway: () => false};
    await simulation.clock.sleep(HOP_MILLISECONDS);
    await this.evacuator.evacuate(
      entry,
      simulation.policy === 'in_turn' ? turn : always,
      () => undefined,
    );
  }
}

/** Parts of a gateway that play no role here are left out. */
function createParts(
  simulation: EvacuationSimulation,
  random: Random,
): ForwardingContext {
  const silent = () => undefined;
  const dialect: Partial<Dialect> = {
    prepareMove: silent,
    moveRun: call => simulation.copy(call),
    dropCopy: async ({holder, handle}) => {
      const engine = simulation.engine(holder.host);
      const tokens = engine?.copies.get(handle);
      if (engine !== undefined && tokens !== undefined) {
        engine.copies.delete(handle);
        engine.usedTokens -= tokens;
      }
    },
  };
  const parts: Partial<Record<keyof ForwardingContext, unknown>> = {
    dialect,
    clock: simulation.clock,
    random,
    logger: {error: silent, warn: silent, info: silent, debug: silent},
    client: {preconnect: silent},
    endpoints: {findReady: () => simulation.findReady()},
    loads: SHARED_LOADS.get(simulation),
    regionOf: (zone: string) =>
      String(Math.floor(Number(zone.split('-')[1]) / ZONES_PER_REGION)),
  };
  return parts as unknown as ForwardingContext;
}

/** All gateways see all open work here; what is late is not played. */
const SHARED_LOADS = {
  loads: new WeakMap<EvacuationSimulation, EndpointLoads>(),
  get(simulation: EvacuationSimulation): EndpointLoads {
    const known = this.loads.get(simulation);
    if (known !== undefined) {
      return known;
    }
    const loads = new EndpointLoads({
      now: () => simulation.clock.now(),
      roundTripMilliseconds: () => 0,
    });
    this.loads.set(simulation, loads);
    return loads;
  },
};
