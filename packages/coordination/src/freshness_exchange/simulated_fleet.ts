/**
 * A fleet in virtual time, for the tests of the freshness exchange: processes, a
 * store of one versioned record, and messages that may be lost or late.
 */
import {Result} from 'true-myth';

import type {LogError} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';
import {
  followKeyedTopic,
  type KeyedPage,
  type KeyedTopicStore,
} from '../follow_keyed_topic/follow_keyed_topic.js';
import {rankByRendezvous} from '../rank_by_rendezvous/rank_by_rendezvous.js';
import {selectReaders} from '../select_readers/select_readers.js';
import {StalenessTracker} from '../staleness_tracker/staleness_tracker.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {EvacuatedZones} from '../evacuated_zones/evacuated_zones.js';
import {FreshnessExchange} from './freshness_exchange.js';

/** Time within which a change must be known. */
export const BOUND_MILLISECONDS = 4_000;

const TOPIC = 'topic';
const STORE_MILLISECONDS = 4;
const MESSAGE_MILLISECONDS = 12;

/** Time without a report after which others no longer count a process. */
const SILENCE_MILLISECONDS = 2_000;

/** Interval at which the claims of all processes are checked. */
const CHECK_MILLISECONDS = 20;

/** Options of {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  /** Share of the messages that is lost. */
  readonly lossShare?: number;
  /** Delays of messages; each is delivered once for each delay. */
  readonly messageDelays?: readonly number[];
  /** Versions that fit into a page of the store; all by default. */
  readonly pageVersions?: number;
  /** Share of the others that each process knows. */
  readonly viewShare?: number;
}

/** Fleet whose processes follow one record of a store. */
export class SimulatedFleet {
  readonly clock = new VirtualClock();
  callCount = 0;
  /** Processes that counted a copy as more recent than it was. */
  readonly falseClaims: string[] = [];
  /** Longest time from a change until the last process in touch knew it. */
  slowestChange = 0;
  /** Highest age of a copy at a process in touch, since the fleet has settled. */
  oldestAge = 0;
  private readonly processes = new Map<string, SimulatedProcess>();
  /** Times of the changes; the version is their number. */
  readonly changes: number[] = [0];
  private readonly waiting = new Set<() => void>();
  private seed = 1;

  private constructor(private readonly options: SimulatedFleetOptions) {}

  /** Starts processes at once, before an empty topic has been read. */
  static async start(
    size: number,
    options: SimulatedFleetOptions = {},
  ): Promise<SimulatedFleet> {
    const fleet = new SimulatedFleet(options);
    const names = Array.from({length: size}, (_, index) => `process-${index}`);
    for (const name of names) {
      const known = names.filter(
        other => other === name || fleet.random() < (options.viewShare ?? 1),
      );
      fleet.processes.set(name, new SimulatedProcess(name, known, fleet));
    }
    fleet.processes.forEach(each => each.start());
    await fleet.clock.advance(500);
    return fleet;
  }

  /** Advances the time and checks what the processes claim. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += CHECK_MILLISECONDS) {
      await this.clock.advance(Math.min(CHECK_MILLISECONDS, milliseconds));
      this.check();
    }
  }

  publishChange(): void {
    this.changes.push(this.clock.now());
    [...this.waiting].forEach(wake => wake());
  }

  killReaders(): void {
    this.readers.forEach(each => {
      each.stop();
      this.processes.delete(each.name);
    });
  }

  freezeReaders(): void {
    this.readers.forEach(each => each.freeze());
  }

  cutReaders(): void {
    this.readers.forEach(each => (each.isCut = true));
  }

  muteReaders(): void {
    this.readers.forEach(each => (each.isMute = true));
  }

  freeze(name: string): void {
    this.processes.get(name)?.freeze();
  }

  thawAll(): void {
    this.processes.forEach(each => each.thaw());
  }

  cut(name: string): void {
    const found = this.processes.get(name);
    if (found !== undefined) {
      found.isCut = true;
    }
  }

  cutAll(): void {
    this.processes.forEach(each => (each.isCut = true));
  }

  mendAll(): void {
    this.processes.forEach(each => (each.isCut = false));
  }

  /** Age of the oldest copy now. */
  get greatestAge(): number {
    return Math.max(
      ...[...this.processes.keys()].map(name => this.ageOf(name)),
    );
  }

  ageOf(name: string): number {
    return this.processes.get(name)?.tracker.ageMilliseconds() ?? Number.NaN;
  }

  get youngestAge(): number {
    return Math.min(
      ...[...this.processes.keys()].map(name => this.ageOf(name)),
    );
  }

  stop(): void {
    this.processes.forEach(each => each.stop());
  }

  /** Delivers a message, or loses it. */
  send(from: string, to: string, deliver: (target: SimulatedProcess) => void) {
    const {lossShare = 0, messageDelays = [MESSAGE_MILLISECONDS]} =
      this.options;
    for (const delay of messageDelays) {
      if (this.random() < lossShare) {
        continue;
      }
      void this.clock.sleep(delay).then(() => {
        const sender = this.processes.get(from);
        const target = this.processes.get(to);
        if (target !== undefined && !target.isMute && sender?.isMute !== true) {
          target.whenRunning(() => deliver(target));
        }
      });
    }
  }

  /** Reads the newest version, waiting for one after a known version. */
  async read(
    reader: SimulatedProcess,
    known: number | undefined,
    waitMilliseconds: number,
  ): Promise<Result<KeyedPage, LogError>> {
    this.callCount += 1;
    if (reader.isCut) {
      await this.clock.sleep(STORE_MILLISECONDS);
      return Result.err({kind: 'unavailable', message: 'no response'});
    }
    await this.clock.sleep(STORE_MILLISECONDS / 2);
    if (known === this.version && waitMilliseconds > 0) {
      await this.waitForChange(waitMilliseconds);
    }
    const newest = this.version;
    const version = Math.min(
      newest,
      (known ?? newest) + (this.options.pageVersions ?? newest),
    );
    await this.clock.sleep(STORE_MILLISECONDS / 2);
    await new Promise<void>(resolve => reader.whenRunning(resolve));
    if (reader.isCut) {
      return Result.err({kind: 'unavailable', message: 'cut'});
    }
    const value = Buffer.from(String(version));
    const records = known === version ? [] : [{key: 'version', value}];
    return Result.ok({records, next: version, hasMore: version < newest});
  }

  /** A process counts for the others while its reports are recent. */
  isReported(name: string): boolean {
    const found = this.processes.get(name);
    return found !== undefined && found.isHeard;
  }

  get version(): number {
    return this.changes.length;
  }

  /** Random numbers that are the same in each run. */
  random(): number {
    this.seed = (this.seed * 48_271) % 2_147_483_647;
    return this.seed / 2_147_483_647;
  }

  private get readers(): SimulatedProcess[] {
    return [...this.processes.values()].filter(each => each.isReader);
  }

  private async waitForChange(milliseconds: number): Promise<void> {
    const controller = new AbortController();
    const wake = () => controller.abort();
    this.waiting.add(wake);
    await this.clock.sleep(milliseconds, controller.signal);
    this.waiting.delete(wake);
  }

  private check(): void {
    const now = this.clock.now();
    for (const each of this.processes.values()) {
      if (each.isFrozen) {
        continue;
      }
      const age = each.tracker.ageMilliseconds();
      const newest = this.changes.filter(at => at <= now - age - 1).length;
      if ((each.version ?? 0) < newest) {
        this.falseClaims.push(`${each.name} at ${now}`);
      }
      if (!each.isCut && !each.isMute) {
        this.oldestAge = Math.max(this.oldestAge, age);
        const missed = this.changes[each.version ?? 0];
        this.slowestChange = Math.max(
          this.slowestChange,
          missed === undefined ? 0 : now - missed,
        );
      }
    }
  }
}

/** A process that follows the record. */
class SimulatedProcess {
  isCut = false;
  isMute = false;
  isFrozen = false;
  version: number | undefined;
  readonly tracker: StalenessTracker;
  readonly evacuatedZones = new EvacuatedZones({
    onEvacuated: () => undefined,
    onRestored: () => undefined,
  });
  private readonly exchange: FreshnessExchange;
  private readonly controller = new AbortController();
  private readonly clock: Clock;
  private pending: Array<() => void> = [];
  private lastHeardAt = 0;
  /** True while the last call to the store has failed. */
  private hasFailed = false;

  constructor(
    readonly name: string,
    private readonly known: readonly string[],
    private readonly fleet: SimulatedFleet,
  ) {
    const {clock} = fleet;
    this.clock = {
      now: () => clock.now(),
      sleep: async (milliseconds, signal) => {
        await clock.sleep(milliseconds, signal);
        await new Promise<void>(resolve => this.whenRunning(resolve));
      },
    };
    this.tracker = new StalenessTracker({
      monotonicMilliseconds: () => clock.now(),
      wallClockMilliseconds: () => clock.now(),
    });
    this.exchange = new FreshnessExchange({
      clock: this.clock,
      random: () => fleet.random(),
      stalenessTracker: this.tracker,
      evacuatedZones: this.evacuatedZones,
      boundMilliseconds: BOUND_MILLISECONDS,
      version: () => this.version,
      isReader: () => this.isReader,
      findReaders: () => this.findReaders(),
      sendMessage: (to, message) =>
        fleet.send(name, to, target => target.receive(name, message)),
      hasHeardAllOthers: () => true,
      onStoreBehind: () => undefined,
      onConfirmed: () => undefined,
      onMalformed: reason => {
        throw new Error(reason);
      },
    });
  }

  start(): void {
    const {signal} = this.controller;
    void this.exchange.run(signal);
    void this.report(signal);
    void followKeyedTopic(TOPIC, {
      store: this.createStore(),
      clock: this.clock,
      random: () => this.fleet.random(),
      signal,
      longPollMilliseconds: () => this.exchange.longPollMilliseconds,
      waitForNextRead: waitSignal => this.exchange.waitForNextRead(waitSignal),
      onSnapshot: records => this.apply(records[0]?.value),
      onRecords: records => this.apply(records[0]?.value),
      onReadStart: () => {
        this.exchange.recordReadStart();
        const sentAt = this.tracker.readTime();
        return (waited, era) => {
          this.hasFailed = false;
          this.exchange.recordRead({stateAt: sentAt + waited, era});
        };
      },
      isUrgent: () => this.isReader,
      onFailure: () => (this.hasFailed = true),
    });
  }

  stop(): void {
    this.controller.abort();
    this.thaw();
  }

  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
    this.pending.splice(0).forEach(run => run());
  }

  /** Runs a step now, or when the process is no longer frozen. */
  whenRunning(run: () => void): void {
    if (this.isFrozen) {
      this.pending.push(run);
    } else {
      run();
    }
  }

  get isReader(): boolean {
    return this.selectReaders().includes(this.name);
  }

  get isHeard(): boolean {
    const silence = this.fleet.clock.now() - this.lastHeardAt;
    return silence < SILENCE_MILLISECONDS && !this.hasFailed;
  }

  receive(from: string, message: Uint8Array): void {
    this.exchange.receive(message, reply =>
      this.fleet.send(this.name, from, target =>
        target.receive(this.name, reply),
      ),
    );
  }

  receiveVersion(version: number): void {
    this.exchange.recordVersion(version);
  }

  private selectReaders(): readonly string[] {
    const reported = this.known.filter(other => this.fleet.isReported(other));
    return selectReaders(reported.length > 0 ? reported : this.known, TOPIC);
  }

  private findReaders(): readonly string[] {
    const others = this.selectReaders().filter(other => other !== this.name);
    return rankByRendezvous(others, this.name);
  }

  private async report(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.isMute) {
        this.lastHeardAt = this.fleet.clock.now();
      }
      await this.clock.sleep(500, signal);
    }
  }

  private apply(value: Buffer | undefined): void {
    if (value === undefined) {
      return;
    }
    const version = Number(value.toString());
    this.version = version;
    if (this.isReader) {
      this.known.forEach(other =>
        this.fleet.send(this.name, other, target =>
          target.receiveVersion(version),
        ),
      );
    }
  }

  private createStore(): KeyedTopicStore {
    return {
      readNewest: () => this.fleet.read(this, undefined, 0),
      readFrom: (_topic, offset, wait) => this.fleet.read(this, offset, wait),
      write: () => {
        throw new Error('write is not supported by this store');
      },
    };
  }
}
