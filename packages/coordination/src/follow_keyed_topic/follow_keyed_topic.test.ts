/**
 * Tests of following a keyed topic: guards against records that are missed
 * after trimming, and against data confirmed as current after a failed read.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {Result} from 'true-myth';

import type {LogError} from '../append_only_log/append_only_log.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {
  followKeyedTopic,
  type KeyedPage,
  type KeyedTopicStore,
} from './follow_keyed_topic.js';

type StoreResponse = Result<KeyedPage, LogError>;

/** Store that returns scripted responses and then never responds. */
class ScriptedStore implements KeyedTopicStore {
  readonly reads: string[] = [];

  constructor(private readonly responses: StoreResponse[]) {}

  readNewest(): Promise<StoreResponse> {
    this.reads.push('newest');
    return this.next();
  }

  readFrom(
    _topic: string,
    offset: number,
    wait: number,
  ): Promise<StoreResponse> {
    this.reads.push(`from ${offset} waiting ${wait}`);
    return this.next();
  }

  write(): Promise<Result<void, LogError>> {
    throw new Error('write is not supported by this store');
  }

  private next(): Promise<StoreResponse> {
    const response = this.responses.shift();
    return response === undefined
      ? new Promise(() => undefined)
      : Promise.resolve(response);
  }
}

function page(next: number, ...keys: string[]): StoreResponse {
  return Result.ok({records: keys.map(key => ({key})), next, hasMore: false});
}

/** A page that ends before the end of the topic. */
function partialPage(next: number, ...keys: string[]): StoreResponse {
  return Result.ok({records: keys.map(key => ({key})), next, hasMore: true});
}

async function follow(responses: StoreResponse[]) {
  const store = new ScriptedStore(responses);
  const clock = new VirtualClock();
  const events: string[] = [];
  const abortController = new AbortController();
  void followKeyedTopic('topic', {
    store,
    clock,
    random: () => 0,
    signal: abortController.signal,
    longPollMilliseconds: () => 500,
    waitForNextRead: (waitSignal, hasRecords) =>
      hasRecords ? clock.sleep(50, waitSignal) : Promise.resolve(),
    onSnapshot: records =>
      events.push(`all ${records.map(({key}) => key).join()}`),
    onRecords: records => events.push(records.map(({key}) => key).join()),
    onReadStart: () => waited =>
      events.push(waited === 0 ? 'confirmed' : `confirmed ${waited}`),
    onFailure: error => events.push(error.kind),
  });
  await clock.advance(10_000);
  abortController.abort();
  return {events, reads: store.reads};
}

const UNAVAILABLE: StoreResponse = Result.err({
  kind: 'unavailable',
  message: '',
});
const TRIMMED: StoreResponse = Result.err({
  kind: 'trimmed',
  earliest: 9,
  message: '',
});

describe('followKeyedTopic', () => {
  it('continues after the offset of the snapshot', async () => {
    const {events, reads} = await follow([page(4, 'a', 'b'), page(5, 'c')]);
    assert.deepEqual(events, ['all a,b', 'confirmed', 'c', 'confirmed']);
    assert.deepEqual(reads, [
      'newest',
      'from 4 waiting 500',
      'from 5 waiting 500',
    ]);
  });

  it('reads a new snapshot when records have been trimmed', async () => {
    const {events} = await follow([page(4, 'a'), TRIMMED, page(12, 'b')]);
    assert.deepEqual(events, ['all a', 'confirmed', 'all b', 'confirmed']);
  });

  it('confirms an empty read with the time that the store waited', async () => {
    const {events} = await follow([page(4), page(4)]);
    assert.deepEqual(events, ['all ', 'confirmed', '', 'confirmed 500']);
  });

  it('does not confirm a failed read and retries without waiting', async () => {
    const {events, reads} = await follow([page(4), UNAVAILABLE, page(4)]);
    assert.deepEqual(events, [
      'all ',
      'confirmed',
      'unavailable',
      '',
      'confirmed',
    ]);
    assert.deepEqual(reads.slice(1, 4), [
      'from 4 waiting 500',
      'from 4 waiting 0',
      'from 4 waiting 500',
    ]);
  });

  // Guards against a process that takes an old copy for current when more was
  // written than fits into a page, and accepts a key that was taken away.
  it('confirms nothing before the end of the topic and reads on at once', async () => {
    const {events, reads} = await follow([
      page(4),
      partialPage(5, 'a'),
      partialPage(6, 'b'),
      page(7, 'c'),
    ]);
    assert.deepEqual(events, ['all ', 'confirmed', 'a', 'b', 'c', 'confirmed']);
    assert.deepEqual(reads.slice(1), [
      'from 4 waiting 500',
      'from 5 waiting 0',
      'from 6 waiting 0',
      'from 7 waiting 500',
    ]);
  });

  it('confirms the end of the topic after a failure between two pages', async () => {
    const {events, reads} = await follow([
      page(4),
      partialPage(5, 'a'),
      UNAVAILABLE,
      page(6, 'b'),
    ]);
    assert.deepEqual(events, [
      'all ',
      'confirmed',
      'a',
      'unavailable',
      'b',
      'confirmed',
    ]);
    assert.deepEqual(reads.slice(2, 4), [
      'from 5 waiting 0',
      'from 5 waiting 0',
    ]);
  });
});
