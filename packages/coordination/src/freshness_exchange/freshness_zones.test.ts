/**
 * Tests the evacuated zones in answers about the configuration: guards against a
 * process that counts as current although it does not know of an evacuated or a
 * restored zone, and against one that waits for its own read before it stops
 * sending to an evacuated zone.
 */
import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';

import {FreshnessMessage} from '@briarpin/messages';

import {EvacuatedZones} from '../evacuated_zones/evacuated_zones.js';
import {StalenessTracker} from '../staleness_tracker/staleness_tracker.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {FreshnessExchange} from './freshness_exchange.js';

const BOUND_MILLISECONDS = 4_000;
const VERSION = 3;

const controller = {current: new AbortController()};

/** A process that asks one reader, whose answers the test gives. */
function createProcess() {
  const clock = new VirtualClock();
  const questions: number[] = [];
  const now = () => clock.now();
  const stalenessTracker = new StalenessTracker({
    monotonicMilliseconds: now,
    wallClockMilliseconds: now,
  });
  const zones = new EvacuatedZones({
    onEvacuated: () => undefined,
    onRestored: () => undefined,
  });
  const exchange = new FreshnessExchange({
    clock,
    random: () => 0.5,
    stalenessTracker,
    boundMilliseconds: BOUND_MILLISECONDS,
    version: () => VERSION,
    evacuatedZones: zones,
    isReader: () => false,
    findReaders: () => ['reader'],
    sendMessage: (_process, message) =>
      questions.push(...FreshnessMessage.decode(message).asked),
    hasHeardAllOthers: () => true,
    onStoreBehind: () => undefined,
    onConfirmed: () => undefined,
    onMalformed: reason => assert.fail(reason),
  });
  controller.current = new AbortController();
  stalenessTracker.confirm(stalenessTracker.readTime());
  void exchange.run(controller.current.signal);
  const answer = (evacuatedZones: string[], ageMilliseconds = 0) => {
    const question = questions.at(-1) ?? assert.fail('no question');
    const answers = [
      {question, version: VERSION, ageMilliseconds, evacuatedZones},
    ];
    exchange.receive(
      FreshnessMessage.encode({asked: [], answers}).finish(),
      () => undefined,
    );
  };
  return {clock, zones, exchange, stalenessTracker, answer};
}

/** Returns whether a process would read the store now. */
async function needsRead({
  exchange,
  clock,
}: ReturnType<typeof createProcess>): Promise<boolean> {
  const waiting = new AbortController();
  let isDue = false;
  const wait = exchange.waitForNextRead(waiting.signal);
  void wait.then(() => (isDue = !waiting.signal.aborted));
  await clock.advance(1);
  waiting.abort();
  await clock.advance(0);
  return isDue;
}

describe('FreshnessExchange with evacuated zones', () => {
  afterEach(() => controller.current.abort());

  it('confirms a process that knows the same zones', async () => {
    const process = createProcess();
    process.zones.replaceAll(['east-1', 'west-1']);
    await process.clock.advance(100);
    process.answer(['west-1', 'east-1']);
    assert.equal(process.stalenessTracker.ageMilliseconds(), 100);
    assert.equal(await needsRead(process), false);
  });

  it('has a process read that has a zone that was restored', async () => {
    const process = createProcess();
    process.zones.replaceAll(['east-1']);
    await process.clock.advance(1_000);
    const before = process.stalenessTracker.ageMilliseconds();
    process.answer([]);
    assert.equal(process.stalenessTracker.ageMilliseconds(), before);
    assert.equal(process.zones.has('east-1'), true);
    assert.equal(await needsRead(process), true);
    process.exchange.recordReadStart();
    assert.equal(await needsRead(process), false);
  });

  // A process without the store keeps serving while a zone is evacuated.
  it('evacuates a zone that a process lacks, confirms it and has it read', async () => {
    const process = createProcess();
    process.zones.replaceAll(['east-1']);
    await process.clock.advance(100);
    process.answer(['east-1', 'east-2']);
    assert.equal(process.zones.has('east-2'), true);
    assert.equal(process.stalenessTracker.ageMilliseconds(), 100);
    assert.equal(await needsRead(process), true);
  });

  it('evacuates no zone that only an old copy of a reader names', async () => {
    const process = createProcess();
    await process.clock.advance(100);
    const before = process.stalenessTracker.ageMilliseconds();
    process.answer(['east-1'], BOUND_MILLISECONDS);
    assert.equal(process.zones.has('east-1'), false);
    assert.equal(process.stalenessTracker.ageMilliseconds(), before);
    assert.equal(await needsRead(process), true);
  });

  it('answers with the zones that were read from the store', () => {
    const {exchange, zones} = createProcess();
    zones.replaceAll(['east-1']);
    zones.applyReport({
      availabilityZones: ['west-1'],
      receivedAt: 1,
      stateAt: 0,
    });
    let reply: FreshnessMessage | undefined;
    exchange.receive(
      FreshnessMessage.encode({asked: [7], answers: []}).finish(),
      message => (reply = FreshnessMessage.decode(message)),
    );
    assert.deepEqual(reply?.answers[0]?.evacuatedZones, ['east-1']);
  });

  // Guards against a zone that is restored at a process without the store, because
  // one that has not read its evacuation either counts as recent.
  it('does not restore a zone by the answer of a process that has not read it', async () => {
    const answering = createProcess();
    const asking = createProcess();
    for (const process of [answering, asking]) {
      await process.clock.advance(100);
      process.answer(['west-1']);
      await process.clock.advance(1_000);
    }
    answering.answer(['west-1']);
    let answer: FreshnessMessage | undefined;
    answering.exchange.receive(
      FreshnessMessage.encode({asked: [7], answers: []}).finish(),
      message => (answer = FreshnessMessage.decode(message)),
    );
    const [{evacuatedZones, ageMilliseconds} = assert.fail('no answer')] =
      answer?.answers ?? [];
    assert.deepEqual(evacuatedZones, []);
    asking.answer(evacuatedZones, ageMilliseconds);
    assert.equal(asking.zones.has('west-1'), true);
    assert.ok(ageMilliseconds >= BOUND_MILLISECONDS / 2);
  });
});
