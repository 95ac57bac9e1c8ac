/**
 * Simulation of engines that terminate in waves, in virtual time. Placement and
 * moves of generations use the production code of the gateway.
 */
import {
  VirtualClock,
  type EndpointEntry,
  type EngineProfile,
} from '@briarpin/coordination';
import {
  ColdEndpoints,
  EndpointEligibility,
  EndpointLimits,
  EndpointLoads,
  EvacuationTurn,
  Evacuator,
  type Dialect,
  type ForwardingContext,
  type MoveCall,
  type MoveOutcome,
} from '@briarpin/forwarding';

import {
  SIMULATED_MILLISECONDS,
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
  type EvacuationMetrics,
  type EvacuationPolicy,
  type EvacuationScenario,
} from './evacuation_scenario.js';
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
  /** Time at which the link is free for the next copy. */
  linkFreeAt: number;
  terminatesAt: number;
}

/**
 * Simulates one scenario.
 *
 * @param scenario - Parameters of the simulation
 * @param policy - How the runs of terminating engines are handled
 * @param seed - Seed of the random numbers
 * @returns Results of the simulation
 */
export async function simulateEvacuation(
  scenario: EvacuationScenario,
  policy: EvacuationPolicy,
  seed: number,
): Promise<EvacuationMetrics> {
  const simulation = new EvacuationSimulation(scenario, policy, seed);
  return simulation.run();
}

class EvacuationSimulation implements SimulatedEngines {
  readonly clock = new VirtualClock();
  readonly profile: EngineProfile;
  /** Separate random sources, so that all policies get the same arrivals. */
  private readonly arrivalRandom: Random;
  private readonly terminationRandom: Random;
  private readonly engines = new Map<string, Engine>();
  private readonly streams: SimulatedStream[] = [];
  private readonly gateways: Gateway[];
  private engineCount = 0;

  constructor(
    readonly scenario: EvacuationScenario,
    readonly policy: EvacuationPolicy,
    seed: number,
  ) {
    this.arrivalRandom = createRandom(seed);
    this.terminationRandom = createRandom(seed + 1);
    const decisions = createRandom(seed + 2);
    this.profile = {
      slots: SLOTS,
      memoryTokens: MEMORY_TOKENS,
      bytesPerToken: 327_680,
      copyLinkMegabitsPerSecond: scenario.linkMegabitsPerSecond,
      supportsMoves: true,
      supportsCheckpoints: false,
      tokensPerEvent: TOKENS_PER_EVENT,
      copyLifetimeMilliseconds: 5_000,
    };
    this.gateways = Array.from(
      {length: scenario.gateways},
      (_, index) => new Gateway(`gateway-${index}`, this, decisions),
    );
    for (let index = 0; index < scenario.engines; index += 1) {
      this.addEngine(`zone-${index % scenario.availabilityZones}`);
    }
  }

  async run(): Promise<EvacuationMetrics> {
    void this.runArrivals();
    void this.runWaves();
    await this.clock.advance(SIMULATED_MILLISECONDS);
    const ended = this.streams.filter(
      ({outcome}) => outcome === 'whole' || outcome === 'cut',
    );
    const completed = ended.filter(({outcome}) => outcome === 'whole');
    const stallFree = completed.filter(
      ({longestGapMilliseconds}) =>
        longestGapMilliseconds <= TARGET_GAP_MILLISECONDS,
    );
    return {
      generations: ended.length,
      refused: this.streams.filter(({outcome}) => outcome === 'refused').length,
      completedShare: completed.length / ended.length,
      stallFreeShare: stallFree.length / ended.length,
    };
  }

  /** Finds ready engines with enough memory for a complete generation. */
  findWithCapacity(tokens: number): EndpointEntry[] {
    return this.findReady().filter(({id}) => {
      const used = this.engines.get(id)?.usedTokens ?? MEMORY_TOKENS;
      return used + tokens <= MEMORY_TOKENS;
    });
  }

  findReady(): EndpointEntry[] {
    const now = this.clock.now();
    return [...this.engines.values()]
      .filter(({isTerminated, terminatesAt}) => {
        const noticeAt = terminatesAt - this.scenario.noticeMilliseconds;
        return !isTerminated && now < noticeAt;
      })
      .map(({entry}) => entry);
  }

  /** Checks that an engine does not terminate before a time; oracle only. */
  isAvailableUntil(id: string, until: number): boolean {
    return (this.engines.get(id)?.terminatesAt ?? 0) > until;
  }

  findEngine(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  async copyRun(call: MoveCall): Promise<MoveOutcome> {
    const {clock} = this;
    await clock.sleep(HOP_MILLISECONDS);
    const source = this.engines.get(call.source.host);
    const target = this.engines.get(call.target.host);
    const stream = this.streams.find(({id}) => id === call.requestId);
    if (source === undefined || source.isTerminated) {
      return {kind: 'unknown', message: 'the engine has terminated'};
    }
    if (stream === undefined || stream.endpointId !== source.entry.id) {
      return {kind: 'not_running'};
    }
    const existing = target?.copies.get(stream.id) ?? 0;
    const tokens = stream.memoryTokens;
    const hasRoom =
      target !== undefined &&
      !target.isTerminated &&
      target.usedTokens + tokens - existing <= MEMORY_TOKENS;
    if (!hasRoom) {
      await clock.sleep(HOP_MILLISECONDS);
      return {kind: 'no_room'};
    }
    if (call.stop) {
      stream.stopRun();
    }
    target.usedTokens += tokens - existing;
    target.copies.set(stream.id, tokens);
    const end = this.reserveLinks(source, target, tokens - existing);
    await clock.sleep(end - clock.now());
    if (source.isTerminated) {
      return {kind: 'unknown', message: 'the engine has terminated'};
    }
    await clock.sleep(HOP_MILLISECONDS);
    return {kind: 'copied', handle: stream.id, events: 0};
  }

  private reserveLinks(source: Engine, target: Engine, tokens: number): number {
    const isSameZone =
      source.entry.availabilityZone === target.entry.availabilityZone;
    const bits = tokens * this.profile.bytesPerToken * 8;
    const duration =
      (bits / (this.scenario.linkMegabitsPerSecond * 1_000)) *
      (isSameZone ? 1 : OTHER_ZONE_FACTOR);
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
      softwareVersion: 'v1',
      coldMilliseconds: 0,
    };
    this.engines.set(id, {
      entry,
      linkFreeAt: 0,
      usedTokens: 0,
      terminatesAt: this.drawTerminationTime(),
      isTerminated: false,
      copies: new Map(),
    });
  }

  /** Draws the termination time in advance, as the oracle needs it. */
  private drawTerminationTime(): number {
    const {terminatingShare, noticeMilliseconds} = this.scenario;
    const now = this.clock.now();
    const currentWave = Math.max(
      0,
      Math.ceil((now - FIRST_WAVE_MILLISECONDS) / WAVE_INTERVAL_MILLISECONDS),
    );
    const waves = Math.floor(
      Math.log(1 - this.terminationRandom()) / Math.log(1 - terminatingShare),
    );
    return (
      FIRST_WAVE_MILLISECONDS +
      (currentWave + waves) * WAVE_INTERVAL_MILLISECONDS +
      noticeMilliseconds
    );
  }

  private async runWaves(): Promise<void> {
    const {clock, scenario} = this;
    await clock.sleep(FIRST_WAVE_MILLISECONDS);
    while (clock.now() < SIMULATED_MILLISECONDS) {
      const noticeEnd = clock.now() + scenario.noticeMilliseconds;
      for (const engine of [...this.engines.values()]) {
        if (!engine.isTerminated && engine.terminatesAt <= noticeEnd) {
          void this.terminateEngine(engine);
        }
      }
      await clock.sleep(WAVE_INTERVAL_MILLISECONDS);
    }
  }

  private async terminateEngine(engine: Engine): Promise<void> {
    const {clock} = this;
    if (this.policy === 'in_turn' || this.policy === 'at_once') {
      this.gateways.forEach(gateway => void gateway.evacuate(engine.entry));
    }
    await clock.sleep(engine.terminatesAt - clock.now());
    engine.isTerminated = true;
    this.streams.forEach(stream => stream.handleTermination(engine.entry.id));
    await clock.sleep(REPLACEMENT_MILLISECONDS);
    this.addEngine(engine.entry.availabilityZone);
  }

  private async runArrivals(): Promise<void> {
    const {clock, scenario, arrivalRandom} = this;
    const tokens = PROMPT_TOKENS + MEDIAN_OUTPUT_TOKENS / 2;
    const concurrentGenerations =
      (scenario.memoryShare * scenario.engines * MEMORY_TOKENS) / tokens;
    const meanInterval =
      (MEDIAN_OUTPUT_TOKENS * MILLISECONDS_PER_TOKEN + PREFILL_MILLISECONDS) /
      concurrentGenerations;
    for (let index = 0; clock.now() < SIMULATED_MILLISECONDS; index += 1) {
      const gateway = this.gateways[index % this.gateways.length] as Gateway;
      const stream = new SimulatedStream(`stream-${index}`, gateway, this, {
        outputTokens: drawLogNormal(
          arrivalRandom,
          MEDIAN_OUTPUT_TOKENS,
          OUTPUT_SIGMA,
        ),
        estimateFactor: drawLogNormal(arrivalRandom, 1, ESTIMATE_SIGMA),
      });
      this.streams.push(stream);
      gateway.streams.add(stream);
      void stream.run();
      await clock.sleep(drawExponential(arrivalRandom, meanInterval));
    }
  }

  /** Lists other gateways that still have movable runs on an engine. */
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

/** One gateway with its streams, forwarding context and evacuator. */
class Gateway implements SimulatedGateway {
  readonly streams = new Set<SimulatedStream>();
  readonly context: ForwardingContext;
  readonly evacuator: Evacuator;

  constructor(
    readonly name: string,
    private readonly simulation: EvacuationSimulation,
    random: Random,
  ) {
    this.context = createForwardingContext(simulation, random);
    this.evacuator = new Evacuator(this.streams, this.context);
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
    const noCoordination = {mayCopy: () => true, isOnlyGateway: () => false};
    await simulation.clock.sleep(HOP_MILLISECONDS);
    await this.evacuator.evacuate(
      entry,
      simulation.policy === 'in_turn' ? turn : noCoordination,
      () => undefined,
    );
  }
}

/** Creates a context with only the members that the simulation uses. */
function createForwardingContext(
  simulation: EvacuationSimulation,
  random: Random,
): ForwardingContext {
  const doNothing = () => undefined;
  const dialect: Partial<Dialect> = {
    prepareMove: doNothing,
    moveRun: call => simulation.copyRun(call),
    dropCopy: ({holder, handle}) => {
      const engine = simulation.findEngine(holder.host);
      const tokens = engine?.copies.get(handle);
      if (engine !== undefined && tokens !== undefined) {
        engine.copies.delete(handle);
        engine.usedTokens -= tokens;
      }
      return Promise.resolve(undefined);
    },
  };
  const logger = {
    error: doNothing,
    warn: doNothing,
    info: doNothing,
    debug: doNothing,
  };
  const limits = new EndpointLimits({
    now: () => simulation.clock.now(),
    random,
    logger,
    onLimitedRequest: doNothing,
  });
  const coldEndpoints = new ColdEndpoints({
    gateway: 'simulated',
    findReportingGateways: () => [],
    now: () => simulation.clock.now(),
    wallClockMilliseconds: () => simulation.clock.now(),
    findService: doNothing,
    logger,
    metrics: {countColdRequest: doNothing},
  });
  const regionOf = (zone: string) =>
    String(Math.floor(Number(zone.split('-')[1]) / ZONES_PER_REGION));
  const endpoints = {
    findReady: () => simulation.findReady(),
    hasOtherSoftware: () => false,
  };
  const context: Partial<Record<keyof ForwardingContext, unknown>> = {
    dialect,
    clock: simulation.clock,
    random,
    logger,
    client: {preconnect: doNothing},
    endpoints,
    coldEndpoints,
    eligibility: new EndpointEligibility({
      endpoints,
      doubts: {isInDoubt: () => false},
      limits,
      configuration: doNothing,
      evacuatedZones: new Set(),
      coldEndpoints,
      regionOf,
    }),
    loads: SHARED_LOADS.get(simulation),
    limits,
    regionOf,
  };
  return context as unknown as ForwardingContext;
}

/**
 * Loads that are shared by all gateways of a simulation, without the delay of
 * load reports between them.
 */
const SHARED_LOADS = {
  loads: new WeakMap<EvacuationSimulation, EndpointLoads>(),
  get(simulation: EvacuationSimulation): EndpointLoads {
    const existing = this.loads.get(simulation);
    if (existing !== undefined) {
      return existing;
    }
    const loads = new EndpointLoads({
      now: () => simulation.clock.now(),
      findDraining: () => [],
      roundTripMilliseconds: () => 0,
    });
    this.loads.set(simulation, loads);
    return loads;
  },
};
