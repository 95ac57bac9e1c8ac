/**
 * Tests of moving a run, for each outcome of a copy call. They guard against
 * runs that stop without a usable copy and against copies that stay allocated.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock, type EndpointEntry} from '@briarpin/coordination';

import {EndpointPauses} from '../endpoint_pauses/endpoint_pauses.js';
import type {Dialect, MoveCall, MoveOutcome} from '../dialect/dialect.js';
import {moveRun, type MovableRun} from './run_evacuation.js';

function createEntry(id: string): EndpointEntry {
  return {
    id,
    service: 'text',
    host: id,
    port: 80,
    availabilityZone: 'east-1',
    state: 'ready',
    slots: 8,
    softwareVersion: 'v1',
    coldMilliseconds: 0,
  };
}

const COPIED: MoveOutcome = {kind: 'copied', handle: 'h-1', events: 3};

/**
 * Moves a run against scripted outcomes of the copy calls, each with its
 * duration in milliseconds.
 */
async function moveWithScript(
  script: ReadonlyArray<readonly [MoveOutcome, number]>,
  overrides: Partial<MovableRun> = {},
) {
  const clock = new VirtualClock();
  const calls: string[] = [];
  const prepared: string[] = [];
  const outcomes = [...script];
  const callTimes: number[] = [];
  const pauses = new EndpointPauses(() => clock.now());
  const dropped: string[] = [];
  const dialect: Pick<Dialect, 'moveRun' | 'prepareMove' | 'dropCopy'> = {
    dropCopy: ({holder, handle}) => {
      dropped.push(`${handle} at ${holder.host}`);
      return Promise.resolve(undefined);
    },
    prepareMove: source => prepared.push(source.host),
    moveRun: async (call: MoveCall) => {
      calls.push(`${call.target.host}${call.stop ? ' stop' : ''}`);
      callTimes.push(clock.now());
      const [outcome, milliseconds] = outcomes.shift() ?? [COPIED, 1];
      await clock.sleep(milliseconds);
      return outcome;
    },
  };
  const silent = () => undefined;
  const targets = ['near', 'next', 'last'];
  const moved = moveRun(
    {
      requestId: 'r-1',
      source: createEntry('source'),
      targetGapMilliseconds: 180,
      idleLinkMilliseconds: 200,
      prepareTarget: target => prepared.push(target.host),
      isAtSource: () => true,
      chooseTarget: excluded => {
        const id = targets.find(name => !excluded.includes(name));
        return id === undefined ? undefined : createEntry(id);
      },
      mayCopyTo: () => true,
      mayResumeAtSource: () => true,
      ...overrides,
    },
    {
      clock,
      dialect: dialect as Dialect,
      limits: {
        computePauseMilliseconds: id => pauses.computeWaitMilliseconds(id),
        recordPause: (id, milliseconds) => pauses.record(id, milliseconds),
      },
      logger: {error: silent, warn: silent, info: silent, debug: silent},
    },
    () => calls.push('stopping'),
  );
  await clock.advance(60_000);
  return {result: await moved, calls, callTimes, prepared, dropped};
}

describe('moveRun', () => {
  it('waits for the end of a pause that the source asked for', async () => {
    const {result, callTimes} = await moveWithScript([
      [{kind: 'no_room', pauseMilliseconds: 2_000}, 10],
      [COPIED, 20],
    ]);
    assert.equal(result.kind, 'stopped');
    assert.deepEqual(callTimes.slice(0, 2), [0, 2_010]);
  });

  it('opens connections for the next call while a copy runs', async () => {
    const {prepared} = await moveWithScript([
      [COPIED, 200],
      [COPIED, 20],
    ]);
    assert.deepEqual(prepared, ['source', 'near']);
  });

  it('copies the memory, then stops the run for the last copy', async () => {
    const {result, calls} = await moveWithScript([
      [COPIED, 210],
      [COPIED, 5],
    ]);
    assert.deepEqual(calls, ['near', 'stopping', 'near stop']);
    assert.equal(result.kind, 'stopped');
    assert.deepEqual(result.kind === 'stopped' && result.memorySource, {
      host: 'source',
      port: 80,
      handle: 'h-1',
    });
  });

  it('repeats the copy before stopping the run while copies are slow', async () => {
    const {calls} = await moveWithScript([
      [COPIED, 700],
      [COPIED, 300],
      [COPIED, 20],
      [COPIED, 5],
    ]);
    assert.deepEqual(calls, ['near', 'near', 'near', 'stopping', 'near stop']);
  });

  it('selects another target when the first has no room', async () => {
    const {result, calls} = await moveWithScript([[{kind: 'no_room'}, 5]]);
    assert.deepEqual(calls.slice(0, 2), ['near', 'next']);
    assert.equal(result.kind === 'stopped' && result.target.id, 'next');
  });

  it('keeps the run at its source when no target has room', async () => {
    const full: readonly [MoveOutcome, number] = [{kind: 'no_room'}, 5];
    const {result, calls} = await moveWithScript([full, full, full]);
    assert.deepEqual(calls, ['near', 'next', 'last']);
    assert.equal(result.kind, 'kept');
  });

  it('retries when the run has not started or another call is in progress', async () => {
    const {result, calls} = await moveWithScript([
      [{kind: 'not_running'}, 1],
      [{kind: 'in_progress'}, 1],
    ]);
    assert.deepEqual(calls.slice(0, 3), ['near', 'near', 'near']);
    assert.equal(result.kind, 'stopped');
  });

  it('resumes from the source when the last copy finds no room', async () => {
    const {result} = await moveWithScript([
      [COPIED, 210],
      [{kind: 'no_room', handle: 'h-2'}, 5],
    ]);
    assert.deepEqual(result, {
      kind: 'stopped_at_source',
      memorySource: {host: 'source', port: 80, handle: 'h-2'},
    });
  });

  // Guards against a stream that breaks although a copy of its run exists.
  it('resumes from the earlier copy when the source is in an evacuated zone', async () => {
    const {result, dropped} = await moveWithScript(
      [
        [COPIED, 210],
        [{kind: 'no_room', handle: 'h-2'}, 5],
      ],
      {mayResumeAtSource: () => false},
    );
    assert.equal(result.kind, 'stopped_at_copy');
    assert.ok(result.kind === 'stopped_at_copy');
    assert.equal(result.target.id, 'near');
    assert.deepEqual(result.memorySource, {
      host: 'source',
      port: 80,
      handle: 'h-1',
    });
    assert.deepEqual(dropped, []);
  });

  it('keeps the run when the first copy call fails without an answer', async () => {
    const unanswered: MoveOutcome = {
      kind: 'unknown',
      message: 'socket hang up',
    };
    const {result, calls} = await moveWithScript([[unanswered, 300]]);
    assert.deepEqual(result, {kind: 'kept', reason: 'socket hang up'});
    assert.deepEqual(calls, ['near']);
  });

  it('resumes from the earlier copy when a later call fails', async () => {
    const unanswered: MoveOutcome = {
      kind: 'unknown',
      message: 'socket hang up',
    };
    const {result, dropped} = await moveWithScript([
      [COPIED, 700],
      [unanswered, 300],
    ]);
    assert.equal(result.kind, 'source_lost');
    assert.equal(result.kind === 'source_lost' && result.target.id, 'near');
    assert.deepEqual(dropped, []);
  });

  it('drops the copy of a run that ends during the move', async () => {
    const atSource = [true, false];
    const {dropped} = await moveWithScript([[COPIED, 210]], {
      isAtSource: () => atSource.shift() ?? false,
    });
    assert.deepEqual(dropped, ['h-1 at near']);
  });

  it('drops the copy at a target without room for the next copy', async () => {
    const {result, dropped} = await moveWithScript([
      [COPIED, 700],
      [{kind: 'no_room'}, 5],
      [COPIED, 210],
      [COPIED, 5],
    ]);
    assert.equal(result.kind === 'stopped' && result.target.id, 'next');
    assert.deepEqual(dropped, ['h-1 at near']);
  });

  it('makes no copy call for a run that has ended', async () => {
    const {result, calls} = await moveWithScript([], {isAtSource: () => false});
    assert.equal(result.kind, 'kept');
    assert.deepEqual(calls, []);
  });

  // Guards against copies that go on to a zone that is evacuated meanwhile.
  it('continues with another target once the chosen one is forbidden', async () => {
    let rounds = 0;
    const {result, calls, dropped} = await moveWithScript([], {
      mayCopyTo: ({id}) => id !== 'near' || (rounds += 1) <= 1,
    });
    assert.equal(result.kind, 'stopped');
    assert.equal(calls[0], 'near');
    assert.deepEqual(
      calls.slice(1).filter(call => call.startsWith('near')),
      [],
    );
    assert.deepEqual(dropped, ['h-1 at near']);
  });
});
