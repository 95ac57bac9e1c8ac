/**
 * Tests of the observed store: guards against calls that are not counted, and
 * against a gateway that seems to reach a store which does not answer it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {
  VirtualClock,
  type KeyedPage,
  type KeyedTopicStore,
  type LogError,
} from '@briarpin/coordination';
import {Result} from 'true-myth';

import {ObservedStore} from './observed_store.js';

const PAGE: Result<KeyedPage, LogError> = Result.ok({
  records: [],
  next: 0,
  hasMore: false,
});
const FAILURE: Result<KeyedPage, LogError> = Result.err({
  kind: 'unavailable',
  message: '',
});
const TRIMMED: Result<KeyedPage, LogError> = Result.err({
  kind: 'trimmed',
  earliest: 3,
  message: '',
});

function createStore(responses: Array<Result<KeyedPage, LogError>>) {
  const next = () => Promise.resolve(responses.shift() ?? PAGE);
  const store: KeyedTopicStore = {
    readNewest: next,
    readFrom: next,
    write: () => Promise.resolve(Result.ok<void, LogError>(undefined)),
  };
  const clock = new VirtualClock();
  const calls: string[] = [];
  const observed = new ObservedStore(store, {
    clock,
    onCall: (topic, call) => calls.push(`${topic} ${call}`),
  });
  return {observed, clock, calls};
}

describe('ObservedStore', () => {
  it('counts each call by topic and kind', async () => {
    const {observed, calls} = createStore([]);
    await observed.readNewest('a');
    await observed.readFrom('b', 1, 0);
    await observed.write('c', 'key', undefined);
    assert.deepEqual(calls, ['a read_newest', 'b read_from', 'c write']);
  });

  it('has not been reached before the first response', () => {
    const {observed} = createStore([]);
    assert.equal(observed.unreachableMilliseconds, Number.POSITIVE_INFINITY);
  });

  it('counts the time since the last response after a failure', async () => {
    const {observed, clock} = createStore([PAGE, FAILURE, TRIMMED]);
    await observed.readNewest('a');
    await clock.advance(1_500);
    assert.equal(observed.unreachableMilliseconds, 0);
    await observed.readFrom('a', 0, 0);
    assert.equal(observed.unreachableMilliseconds, 1_500);
    await observed.readFrom('a', 0, 0);
    assert.equal(observed.unreachableMilliseconds, 0);
  });
});
