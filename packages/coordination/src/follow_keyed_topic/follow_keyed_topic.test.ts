/**
 * Tests of following keyed topics.
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

type Answer = Result<KeyedPage, LogError>;

/** Answers reads from a script, then never again. */
class ScriptedStore implements KeyedTopicStore {
  readonly reads: string[] = [];

  constructor(private readonly script: Answer[]) {}

  readNewest(): Promise<Answer> {
    this.reads.push('newest');
    return this.next();
  }

  readFrom(_topic: string, offset: number, wait: number): Promise<Answer> {
    this.reads.push(`from ${offset} waiting ${wait}`);
    return this.next();
  }

  write(): Promise<Result<void, LogError>> {
    throw new Error('nothing is written here');
  }

  private next(): Promise<Answer> {
    const answer = this.script.shift();
    return answer === undefined
      ? new Promise(() => undefined)
      : Promise.resolve(answer);
  }
}

function page(next: number, ...keys: string[]): Answer {
  return Result.ok({records: keys.map(key => ({key})), next});
}

async function follow(script: Answer[]) {
  const store = new ScriptedStore(script);
  const clock = new VirtualClock();
  const seen: string[] = [];
  const ended = new AbortController();
  void followKeyedTopic('topic', {
    store,
    clock,
    random: () => 0,
    signal: ended.signal,
    longPollMilliseconds: 500,
    gather: signal => clock.sleep(50, signal),
    onSnapshot: records =>
      seen.push(`all ${records.map(({key}) => key).join()}`),
    onRecords: records => seen.push(records.map(({key}) => key).join()),
    onRead: () => waited =>
      seen.push(waited === 0 ? 'confirmed' : `confirmed ${waited}`),
    onFailure: error => seen.push(error.kind),
  });
  await clock.advance(10_000);
  ended.abort();
  return {seen, reads: store.reads};
}

const UNAVAILABLE: Answer = Result.err({kind: 'unavailable', message: ''});
const TRIMMED: Answer = Result.err({
  kind: 'trimmed',
  earliest: 9,
  message: '',
});

describe('followKeyedTopic', () => {
  it('goes on behind the snapshot', async () => {
    const {seen, reads} = await follow([page(4, 'a', 'b'), page(5, 'c')]);
    assert.deepEqual(seen, ['all a,b', 'confirmed', 'c', 'confirmed']);
    assert.deepEqual(reads, [
      'newest',
      'from 4 waiting 500',
      'from 5 waiting 500',
    ]);
  });

  it('reads everything again when records are gone', async () => {
    const {seen} = await follow([page(4, 'a'), TRIMMED, page(12, 'b')]);
    assert.deepEqual(seen, ['all a', 'confirmed', 'all b', 'confirmed']);
  });

  it('confirms that nothing came while the store waited', async () => {
    const {seen} = await follow([page(4), page(4)]);
    assert.deepEqual(seen, ['all ', 'confirmed', '', 'confirmed 500']);
  });

  it('does not confirm what failed, and asks for a quick answer next', async () => {
    const {seen, reads} = await follow([page(4), UNAVAILABLE, page(4)]);
    assert.deepEqual(seen, [
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
});
