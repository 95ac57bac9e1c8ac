/**
 * Tests of moving a run, for each outcome of a copy.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {VirtualClock, type EndpointEntry} from '@briarpin/coordination';

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
    coldMilliseconds: 0,
  };
}

const COPIED: MoveOutcome = {kind: 'copied', handle: 'h-1', events: 3};

/** Plays answers to copies in order; a copy takes the time that is given. */
async function play(
  script: ReadonlyArray<readonly [MoveOutcome, number]>,
  change: Partial<MovableRun> = {},
) {
  const clock = new VirtualClock();
  const calls: string[] = [];
  const prepared: string[] = [];
  const answers = [...script];
  const dropped: string[] = [];
  const dialect: Pick<Dialect, 'moveRun' | 'prepareMove' | 'dropCopy'> = {
    dropCopy: async ({holder, handle}) => {
      dropped.push(`${handle} at ${holder.host}`);
    },
    prepareMove: source => prepared.push(source.host),
    moveRun: async (call: MoveCall) => {
      calls.push(`${call.target.host}${call.stop ? ' stop' : ''}`);
      const [outcome, milliseconds] = answers.shift() ?? [COPIED, 1];
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
      isThere: () => true,
      chooseTarget: excluded => {
        const id = targets.find(name => !excluded.includes(name));
        return id === undefined ? undefined : createEntry(id);
      },
      ...change,
    },
    {
      clock,
      dialect: dialect as Dialect,
      logger: {error: silent, warn: silent, info: silent, debug: silent},
    },
    () => calls.push('stopping'),
  );
  await clock.advance(60_000);
  return {result: await moved, calls, prepared, dropped};
}

describe('moveRun', () => {
  it('opens connections for the next call while a copy runs', async () => {
    const {prepared} = await play([
      [COPIED, 200],
      [COPIED, 20],
    ]);
    assert.deepEqual(prepared, ['source', 'near']);
  });

  it('copies, then stops the run for the last copy', async () => {
    const {result, calls} = await play([
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

  it('copies again while the link is busy', async () => {
    const {calls} = await play([
      [COPIED, 700],
      [COPIED, 300],
      [COPIED, 20],
      [COPIED, 5],
    ]);
    assert.deepEqual(calls, ['near', 'near', 'near', 'stopping', 'near stop']);
  });

  it('takes another target where there is no room', async () => {
    const {result, calls} = await play([[{kind: 'no_room'}, 5]]);
    assert.deepEqual(calls.slice(0, 2), ['near', 'next']);
    assert.equal(result.kind === 'stopped' && result.target.id, 'next');
  });

  it('leaves the run where it is when there is no room anywhere', async () => {
    const full: readonly [MoveOutcome, number] = [{kind: 'no_room'}, 5];
    const {result, calls} = await play([full, full, full]);
    assert.deepEqual(calls, ['near', 'next', 'last']);
    assert.equal(result.kind, 'kept');
  });

  it('waits for a run that has not begun, and for another call', async () => {
    const {result, calls} = await play([
      [{kind: 'not_running'}, 1],
      [{kind: 'in_progress'}, 1],
    ]);
    assert.deepEqual(calls.slice(0, 3), ['near', 'near', 'near']);
    assert.equal(result.kind, 'stopped');
  });

  it('goes back to the source when the last copy finds no room', async () => {
    const {result} = await play([
      [COPIED, 210],
      [{kind: 'no_room', handle: 'h-2'}, 5],
    ]);
    assert.deepEqual(result, {
      kind: 'stopped_at_source',
      memorySource: {host: 'source', port: 80, handle: 'h-2'},
    });
  });

  it('keeps the run when an answer is lost', async () => {
    const lost: MoveOutcome = {kind: 'unknown', message: 'socket hang up'};
    const {result, calls} = await play([[lost, 300]]);
    assert.deepEqual(result, {kind: 'kept', reason: 'socket hang up'});
    assert.deepEqual(calls, ['near']);
  });

  it('goes on from the copy when the source has ended before the last one', async () => {
    const lost: MoveOutcome = {kind: 'unknown', message: 'socket hang up'};
    const {result, dropped} = await play([
      [COPIED, 700],
      [lost, 300],
    ]);
    assert.equal(result.kind, 'source_lost');
    assert.equal(result.kind === 'source_lost' && result.target.id, 'near');
    assert.deepEqual(dropped, []);
  });

  it('frees the copy of a run that has ended meanwhile', async () => {
    const isThere = [true, false];
    const {dropped} = await play([[COPIED, 210]], {
      isThere: () => isThere.shift() ?? false,
    });
    assert.deepEqual(dropped, ['h-1 at near']);
  });

  it('frees the copy at a target that has no room for the rest', async () => {
    const {result, dropped} = await play([
      [COPIED, 700],
      [{kind: 'no_room'}, 5],
      [COPIED, 210],
      [COPIED, 5],
    ]);
    assert.equal(result.kind === 'stopped' && result.target.id, 'next');
    assert.deepEqual(dropped, ['h-1 at near']);
  });

  it('ends with the run', async () => {
    const {result, calls} = await play([], {isThere: () => false});
    assert.equal(result.kind, 'kept');
    assert.deepEqual(calls, []);
  });
});
