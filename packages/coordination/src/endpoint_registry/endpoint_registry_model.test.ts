/**
 * Model test of what several processes believe of one endpoint, in virtual time.
 * Guards against a late, lost, repeated or reordered observation that undoes a
 * newer one: a live endpoint that is shunned, or one that is used after its notice.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import * as fastCheck from 'fast-check';

import {createDeparture} from '../create_departure/create_departure.js';
import type {
  EndpointDeparture,
  EndpointEntry,
} from '../endpoint_entry/endpoint_entry.js';
import {createTestEntry} from '../endpoint_entry/endpoint_entry_fixture.js';
import {EndpointRegistry} from './endpoint_registry.js';

const STEP_MILLISECONDS = 100;
const HEARTBEAT_MILLISECONDS = 1_200;
const DEPARTURE_REPORT_MILLISECONDS = 2_500;
const ARRIVAL_REPORT_MILLISECONDS = 1_000;
const FOLLOWER_READ_MILLISECONDS = 5_000;
const READER_COUNT = 3;

/** Longest time after which the store does a write whose answer was lost. */
const LATEST_WRITE_MILLISECONDS = 6_000;

/**
 * Time of calm after which all processes must agree: the last late write, two
 * heartbeats, and a read by those that read rarely.
 */
const CALM_MILLISECONDS =
  LATEST_WRITE_MILLISECONDS +
  2 * HEARTBEAT_MILLISECONDS +
  FOLLOWER_READ_MILLISECONDS;

/** Runs by default; BRIARPIN_MODEL_RUNS sets another number. */
const DEFAULT_RUNS = 400;
const RUNS = Number(process.env.BRIARPIN_MODEL_RUNS ?? DEFAULT_RUNS);
const SEED = Number(process.env.BRIARPIN_MODEL_SEED ?? 64);

/** A disturbance, and how long the world runs after it. */
type Disturbance = {readonly steps: number} & (
  | {
      readonly kind: 'restart';
      readonly hasOtherSoftware: boolean;
      readonly isClockSetBack: boolean;
    }
  | {readonly kind: 'crash'}
  | {readonly kind: 'start'}
  | {readonly kind: 'drain'}
  | {readonly kind: 'lapse'}
  | {readonly kind: 'late_writes'; readonly lateSteps: number}
  | {readonly kind: 'freeze'; readonly process: number}
  | {readonly kind: 'replace_process'; readonly process: number}
  | {readonly kind: 'lose_reports'}
);

interface StoreRecord {
  readonly doneAt: number;
  /** Absent for a removal. */
  readonly entry?: EndpointEntry;
}

interface ObservedProcess {
  registry: EndpointRegistry;
  departures: Array<{readonly at: number; readonly item: EndpointDeparture}>;
  arrivals: Array<{readonly at: number; readonly item: EndpointEntry}>;
  /** Position in the log of the store. */
  position: number;
  lastReadAt: number;
  frozenUntil: number;
  readonly isReader: boolean;
}

/** One endpoint, the store and the processes that follow it. */
class World {
  now = 0;
  private log: StoreRecord[] = [];
  private pending: StoreRecord[] = [];
  private readonly processes: ObservedProcess[];
  private current: EndpointEntry;
  private isAlive = true;
  private lastBeatAt = 0;
  private latestStart = 1_000;
  private earliestStart = 1_000;
  private lateUntil = 0;
  private lateMilliseconds = 0;
  private reportsLostUntil = 0;

  constructor(processCount: number) {
    this.current = createTestEntry({
      startedAt: this.latestStart,
      sequence: 0,
    });
    this.processes = Array.from({length: processCount}, (_, index) =>
      this.createProcess(index < READER_COUNT),
    );
    this.write();
  }

  apply(disturbance: Disturbance): void {
    const {kind} = disturbance;
    if (kind === 'restart') {
      this.restart(disturbance);
    } else if (kind === 'crash') {
      this.isAlive = false;
    } else if (kind === 'start' && !this.isAlive) {
      this.restart({hasOtherSoftware: false, isClockSetBack: false});
    } else if (kind === 'drain' && this.isAlive) {
      this.current = {...this.current, state: 'draining'};
      this.write();
    } else if (kind === 'lapse') {
      this.log.push({doneAt: this.now});
    } else if (kind === 'late_writes') {
      this.lateMilliseconds = disturbance.lateSteps * STEP_MILLISECONDS;
      this.lateUntil = this.now + disturbance.steps * STEP_MILLISECONDS;
    } else if (kind === 'freeze') {
      this.pick(disturbance.process).frozenUntil =
        this.now + disturbance.steps * STEP_MILLISECONDS;
    } else if (kind === 'replace_process') {
      const old = this.pick(disturbance.process);
      Object.assign(old, this.createProcess(old.isReader));
    } else if (kind === 'lose_reports') {
      this.reportsLostUntil = this.now + disturbance.steps * STEP_MILLISECONDS;
    }
    this.run(disturbance.steps * STEP_MILLISECONDS);
  }

  run(milliseconds: number): void {
    const endsAt = this.now + milliseconds;
    while (this.now < endsAt) {
      this.now += STEP_MILLISECONDS;
      this.beat();
      this.finishWrites();
      this.processes.forEach(process => this.read(process));
      this.processes
        .filter(({frozenUntil}) => this.now >= frozenUntil)
        .forEach(({registry}) => registry.recordStoreResponse());
      this.exchangeReports();
    }
  }

  /** Checks that all processes believe what is true. */
  check(): void {
    const expected =
      this.isAlive && this.current.state === 'ready'
        ? [`${this.current.startedAt} ${this.current.softwareVersion}`]
        : [];
    this.processes.forEach(({registry}, index) => {
      const ready = registry
        .findReady('text')
        .map(entry => `${entry.startedAt} ${entry.softwareVersion}`);
      assert.deepEqual(ready, expected, `process ${index}`);
    });
  }

  /** Checks that no process that has read a notice uses the endpoint. */
  checkNotice(): void {
    if (this.current.state !== 'draining') {
      return;
    }
    for (const {registry} of this.processes) {
      const known = registry.find('a');
      if (
        known?.startedAt === this.current.startedAt &&
        known?.state === 'draining'
      ) {
        assert.deepEqual(registry.findReady('text'), []);
      }
    }
  }

  private restart({
    hasOtherSoftware,
    isClockSetBack,
  }: {
    readonly hasOtherSoftware: boolean;
    readonly isClockSetBack: boolean;
  }): void {
    this.latestStart += 1_000;
    this.earliestStart -= isClockSetBack ? 10 : 0;
    const {softwareVersion} = this.current;
    const otherSoftware = softwareVersion === 'v1' ? 'v2' : 'v1';
    this.current = {
      ...this.current,
      startedAt: isClockSetBack ? this.earliestStart : this.latestStart,
      softwareVersion: hasOtherSoftware ? otherSoftware : softwareVersion,
      state: 'ready',
      sequence: 0,
    };
    this.isAlive = true;
    this.write();
  }

  private beat(): void {
    if (this.isAlive && this.now - this.lastBeatAt >= HEARTBEAT_MILLISECONDS) {
      this.write();
    }
  }

  private write(): void {
    const {sequence = 0} = this.current;
    this.current = {...this.current, sequence: sequence + 1};
    this.lastBeatAt = this.now;
    const isLate = this.now < this.lateUntil;
    const doneAt = this.now + (isLate ? this.lateMilliseconds : 0);
    this.pending.push({doneAt, entry: this.current});
  }

  /** Does the writes that are due; removes an entry after three heartbeats. */
  private finishWrites(): void {
    const due = this.pending.filter(({doneAt}) => doneAt <= this.now);
    this.pending = this.pending.filter(({doneAt}) => doneAt > this.now);
    this.log.push(...due);
    const last = this.log.at(-1);
    if (
      last?.entry !== undefined &&
      this.now - last.doneAt >= 3 * HEARTBEAT_MILLISECONDS
    ) {
      this.log.push({doneAt: this.now});
    }
  }

  private read(process: ObservedProcess): void {
    const interval = process.isReader ? 0 : FOLLOWER_READ_MILLISECONDS;
    if (
      this.now < process.frozenUntil ||
      this.now - process.lastReadAt < interval
    ) {
      return;
    }
    const records = this.log.slice(process.position);
    process.position = this.log.length;
    process.lastReadAt = this.now;
    process.registry.recordStoreResponse();
    const lastEntry = records.at(-1)?.entry;
    for (const {entry} of records) {
      if (entry === undefined) {
        process.registry.remove('a', lastEntry);
      } else {
        process.registry.put(entry, lastEntry);
      }
    }
    process.registry.evictExpired();
  }

  private exchangeReports(): void {
    if (this.now < this.reportsLostUntil) {
      return;
    }
    const running = this.processes.filter(
      ({frozenUntil}) => this.now >= frozenUntil,
    );
    for (const sender of running) {
      const isRecent =
        (milliseconds: number) =>
        ({at}: {readonly at: number}) =>
          this.now - at < milliseconds;
      sender.arrivals = sender.arrivals.filter(
        isRecent(ARRIVAL_REPORT_MILLISECONDS),
      );
      sender.departures = sender.departures.filter(
        isRecent(DEPARTURE_REPORT_MILLISECONDS),
      );
      const others = running.filter(receiver => receiver !== sender);
      for (const {registry} of others) {
        sender.arrivals.forEach(({item}) => registry.addFromPeer(item));
        sender.departures.forEach(({item}) => registry.applyDeparture(item));
      }
    }
  }

  private pick(index: number): ObservedProcess {
    const process = this.processes[index % this.processes.length];
    assert.ok(process);
    return process;
  }

  private createProcess(isReader: boolean): ObservedProcess {
    const process: ObservedProcess = {
      registry: new EndpointRegistry({
        heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
        now: () => this.now,
        onLeaving: (entry, reason) => {
          const item = createDeparture(entry, reason);
          if (item !== undefined) {
            process.departures.push({at: this.now, item});
          }
        },
        onReady: (entry, source) => {
          if (source === 'store') {
            process.arrivals.push({at: this.now, item: entry});
          }
        },
      }),
      departures: [],
      arrivals: [],
      position: this.log.length,
      lastReadAt: this.now,
      frozenUntil: 0,
      isReader,
    };
    const last = this.log.at(-1)?.entry;
    process.registry.recordStoreResponse();
    process.registry.replaceAll(last === undefined ? [] : [last]);
    process.arrivals = [];
    return process;
  }
}

const steps = fastCheck.integer({min: 1, max: 50});
const process_ = fastCheck.integer({min: 0, max: 5});

const disturbances = fastCheck.array(
  fastCheck.oneof(
    fastCheck.record({
      kind: fastCheck.constant('restart' as const),
      hasOtherSoftware: fastCheck.boolean(),
      isClockSetBack: fastCheck.boolean(),
      steps,
    }),
    fastCheck.record({kind: fastCheck.constant('crash' as const), steps}),
    fastCheck.record({kind: fastCheck.constant('start' as const), steps}),
    fastCheck.record({kind: fastCheck.constant('drain' as const), steps}),
    fastCheck.record({kind: fastCheck.constant('lapse' as const), steps}),
    fastCheck.record({
      kind: fastCheck.constant('late_writes' as const),
      lateSteps: fastCheck.integer({
        min: 10,
        max: LATEST_WRITE_MILLISECONDS / STEP_MILLISECONDS,
      }),
      steps,
    }),
    fastCheck.record({
      kind: fastCheck.constant('freeze' as const),
      process: process_,
      steps,
    }),
    fastCheck.record({
      kind: fastCheck.constant('replace_process' as const),
      process: process_,
      steps,
    }),
    fastCheck.record({
      kind: fastCheck.constant('lose_reports' as const),
      steps,
    }),
  ),
  {minLength: 1, maxLength: 12},
);

describe('what processes believe of an endpoint', () => {
  it('is true within a bounded time, whatever came late or was lost', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.integer({min: 1, max: 6}),
        disturbances,
        (processCount, events) => {
          const world = new World(processCount);
          world.run(HEARTBEAT_MILLISECONDS);
          for (const event of events) {
            world.apply(event);
            world.checkNotice();
          }
          world.run(CALM_MILLISECONDS);
          world.check();
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
