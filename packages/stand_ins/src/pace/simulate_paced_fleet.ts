/**
 * Simulates gateways that choose engines of different pace, in virtual time.
 */
import {VirtualClock, type EndpointEntry} from '@briarpin/coordination';
import {
  chooseEngine,
  countEngineWork,
  type EligibleEndpoints,
  EndpointLoads,
  type ForwardingContext,
} from '@briarpin/forwarding';

import {createRandom, type Random} from '../bench/seeded_random.js';
import {PacedEngine} from './paced_engine.js';
import {
  createExchange,
  createReport,
  MEMORY_TOKENS,
  SLOTS,
  summarise,
  type PacedLoad,
  type PacedResult,
} from './paced_request.js';

/** Interval of the reports between gateways; each start is reported as well. */
const REPORT_INTERVAL_MILLISECONDS = 250;

/** Options of {@link PacedFleet}. */
export interface PacedFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  /** Time of the steps of each engine relative to the usual time. */
  readonly factors: readonly number[];
  readonly hasSlowPhases: boolean;
  /** False if responses state three figures, as before. */
  readonly statesPace: boolean;
  readonly loads: readonly PacedLoad[];
}

interface SimulatedGateway {
  readonly loads: EndpointLoads;
  readonly context: ForwardingContext;
  hasNews: boolean;
}

/** Gateways and engines that share one virtual clock. */
export class PacedFleet {
  readonly engines: PacedEngine[];
  readonly gateways: SimulatedGateway[];
  readonly results: PacedResult[] = [];
  /** Chooses among the engines that are up; may be replaced by a test. */
  findCandidates: (now: number) => readonly PacedEngine[] = () =>
    this.engines.filter(({isUp}) => isUp);
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private now = 0;

  /**
   * @param options - Size, pace and load
   */
  constructor(private readonly options: PacedFleetOptions) {
    this.random = createRandom(options.seed);
    this.engines = options.factors.map((factor, index) =>
      this.createEngine(factor, index),
    );
    this.gateways = Array.from({length: options.gateways}, () =>
      this.createGateway(),
    );
  }

  /**
   * Runs the fleet.
   *
   * @param milliseconds - Time to run
   * @param onTick - Called once per millisecond, to stop or slow engines
   */
  run(milliseconds: number, onTick: (now: number) => void = () => {}): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 1;
      onTick(this.now);
      this.exchangeReports();
      this.sendRequests();
      this.engines.forEach(engine => engine.advance(this.now));
    }
  }

  /** Adds a gateway that has just started, with the reports of all others. */
  addGateway(): number {
    this.gateways.push(this.createGateway());
    this.gateways.forEach(gateway => (gateway.hasNews = true));
    return this.gateways.length - 1;
  }

  /** Lets an engine return, as new to all gateways if `isNew`. */
  returnEngine(index: number, isNew: boolean): void {
    const engine = this.getEngine(index);
    engine.isUp = true;
    for (const {loads} of this.gateways) {
      loads.removeAverages(engine.entry.id);
      if (isNew) {
        loads.startRamp(engine.entry);
      }
    }
  }

  /** Returns an engine by its index. */
  getEngine(index: number): PacedEngine {
    const engine = this.engines[index];
    if (engine === undefined) {
      throw new RangeError(`There is no engine ${index}.`);
    }
    return engine;
  }

  private createEngine(factor: number, index: number): PacedEngine {
    const entry: EndpointEntry = {
      id: `e-${index}`,
      service: 'text',
      host: '10.0.0.1',
      port: 80,
      availabilityZone: 'east-1',
      softwareVersion: 'v1',
      state: 'ready',
      slots: SLOTS,
      coldMilliseconds: 0,
    };
    return new PacedEngine({
      entry,
      factor,
      memoryTokens: MEMORY_TOKENS,
      hasSlowPhases: this.options.hasSlowPhases,
      phaseOffset: this.random() * 1_000,
    });
  }

  private createGateway(): SimulatedGateway {
    const loads = new EndpointLoads({
      now: () => this.now,
      findDraining: () => [],
      roundTripMilliseconds: () => 2,
    });
    const context = {
      loads,
      clock: {...this.clock, now: () => this.now},
      random: this.random,
      onWorkStarted: () => (gateway.hasNews = true),
      queuesForEngines: () => false,
    } as unknown as ForwardingContext;
    const gateway: SimulatedGateway = {loads, context, hasNews: false};
    return gateway;
  }

  private exchangeReports(): void {
    const isDue = this.now % REPORT_INTERVAL_MILLISECONDS === 0;
    this.gateways.forEach((sender, index) => {
      if (!sender.hasNews && !isDue) {
        return;
      }
      sender.hasNews = false;
      const report = createReport(sender.loads);
      this.gateways
        .filter(receiver => receiver !== sender)
        .forEach(({loads}) => loads.setGatewayWork(`g-${index}`, report));
    });
  }

  private sendRequests(): void {
    for (const load of this.options.loads) {
      if (this.random() < load.perSecond / 1_000) {
        this.send(load, Math.floor(this.random() * this.gateways.length));
      }
    }
  }

  private send(load: PacedLoad, gatewayIndex: number): void {
    const gateway = this.gateways[gatewayIndex];
    const exchange = createExchange(load);
    const candidates = this.findCandidates(this.now);
    const entries = candidates.map(({entry}) => entry);
    const context = gateway?.context;
    const chosen =
      context &&
      chooseEngine(exchange, context, entries as unknown as EligibleEndpoints)
        ?.entry.id;
    const engine = candidates.find(({entry}) => entry.id === chosen);
    if (context === undefined || engine === undefined) {
      return;
    }
    const {entry} = engine;
    const work = countEngineWork(exchange, context, {
      endpoint: entry,
      hasMemory: false,
    });
    const sentAt = this.now;
    const events: number[] = [];
    const record = (outcome: PacedResult['outcome']) => {
      work.release();
      const timing = {sentAt, endedAt: this.now, events};
      this.results.push({
        gateway: gatewayIndex,
        engine: entry.id,
        ...summarise(load, timing, outcome),
      });
    };
    if (this.random() < engine.failureShare) {
      context.loads.recordOutcome(entry.id, true);
      context.loads.recordFault(entry);
      record('refused');
      return;
    }
    engine.submit({
      promptTokens: load.promptTokens,
      outputTokens: load.outputTokens,
      readTokens: 0,
      producedTokens: 0,
      onEvent: () => {
        if (events.length === 0) {
          context.loads.recordLoad(entry.id, this.stateLoad(engine));
        }
        events.push(this.now);
        work.recordEvents(1);
      },
      onEnd: record,
    });
  }

  private stateLoad(engine: PacedEngine) {
    const load = {running: engine.openRuns, waiting: 0, slots: SLOTS};
    return this.options.statesPace
      ? {...load, pacePercent: engine.statePace(this.now)}
      : load;
  }
}
