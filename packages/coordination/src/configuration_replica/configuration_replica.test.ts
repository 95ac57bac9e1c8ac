/**
 * Tests of a replica while the log loses responses, trims records or is read
 * by others only: guards against two accepted changes on one base, an
 * incomplete table that counts as ready, and reverted or stale values.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {CONFIGURATION_STREAM} from '../constants.js';
import {InMemoryLog} from '../in_memory_log/in_memory_log.js';
import {publishChange} from '../publish_change/publish_change.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {ConfigurationReplica} from './configuration_replica.js';

class Fixture {
  readonly clock = new VirtualClock();
  readonly log = new InMemoryLog(this.clock);
  readonly abortController = new AbortController();

  /** Starts a replica; a rank of -1 makes it depend on updates from peers. */
  startReplica(rank = 1): ConfigurationReplica {
    const replica = new ConfigurationReplica({
      log: this.log,
      clock: this.clock,
      random: () => 0.5,
      longPollMilliseconds: 1_000,
      pollerRank: () => (rank === -1 ? undefined : rank),
    });
    void replica.run(this.abortController.signal);
    return replica;
  }

  append(key: string, value: unknown, baseOffset = 0): void {
    const changeId = `${key}-${String(value)}`;
    const change = {kind: 'change', changeId, key, value, baseOffset};
    void this.log.append(CONFIGURATION_STREAM, change);
  }

  publish(replica: ConfigurationReplica, key: string, value: unknown) {
    const {log, clock} = this;
    const deadline = clock.now() + 5_000;
    const random = () => 0.5;
    return publishChange(key, value, {log, clock, replica, deadline, random});
  }
}

describe('ConfigurationReplica', () => {
  describe('when operators change one key concurrently', () => {
    it('accepts one change and reports a conflict to the others', async () => {
      const fixture = new Fixture();
      fixture.append('k', 'start');
      const replicas = [
        fixture.startReplica(),
        fixture.startReplica(),
        fixture.startReplica(),
      ];
      await fixture.clock.advance(100);
      const results = Promise.all(
        replicas.map((replica, index) => fixture.publish(replica, 'k', index)),
      );
      await fixture.clock.advance(3_000);
      const settled = await results;
      const accepted = settled.filter(result => result.isOk);
      const rejected = settled.flatMap(result =>
        result.isErr ? [result.error] : [],
      );
      assert.equal(accepted.length, 1);
      assert.deepEqual(
        rejected.map(error => error.kind),
        ['conflict', 'conflict'],
      );
      assert.match(rejected[0]?.message ?? '', /make the change again/);
      fixture.abortController.abort();
    });

    it('accepts a change that is overwritten immediately', async () => {
      const fixture = new Fixture();
      const replica = fixture.startReplica();
      await fixture.clock.advance(100);
      const result = fixture.publish(replica, 'k', 'mine');
      fixture.append('k', 'next', 1);
      await fixture.clock.advance(3_000);
      assert.equal((await result).isOk, true);
      assert.equal(replica.table.get('k'), 'next');
      fixture.abortController.abort();
    });
  });

  describe('when the response to an append is lost', () => {
    it('resolves the change by reading the stream', async () => {
      const fixture = new Fixture();
      const replica = fixture.startReplica();
      await fixture.clock.advance(100);
      fixture.log.appendResponsesToDrop = 2;
      const result = fixture.publish(replica, 'k', 7);
      await fixture.clock.advance(5_000);
      assert.equal((await result).isOk, true);
      assert.equal(replica.table.find('k')?.offset, 1);
      fixture.abortController.abort();
    });
  });

  describe('when the log returns its records in pages', () => {
    // Guards against a replica that takes an old table for current, since the
    // first page after an outage seems to be all.
    it('is current only once no record is left', async () => {
      const fixture = new Fixture();
      const {log, clock} = fixture;
      ['a', 'b', 'c'].forEach(key => fixture.append(key, 1));
      log.maximumPageRecords = 2;
      const read = log.read.bind(log);
      let reads = 0;
      log.read = (...parameters) => {
        reads += 1;
        log.outage = reads === 2;
        return read(...parameters);
      };
      const replica = fixture.startReplica();
      await clock.advance(1);
      assert.equal(replica.table.get('b'), 1);
      assert.equal(replica.stalenessMilliseconds, Number.POSITIVE_INFINITY);
      await clock.advance(5_000);
      assert.equal(replica.table.get('c'), 1);
      assert.ok(replica.stalenessMilliseconds <= 1_000);
      fixture.abortController.abort();
    });

    it('counts its age from the read, not from a late response', async () => {
      const fixture = new Fixture();
      const {log, clock} = fixture;
      fixture.append('a', 1);
      const replica = fixture.startReplica();
      await clock.advance(100);
      const read = log.read.bind(log);
      log.read = async (...parameters) => {
        const page = await read(...parameters);
        await clock.sleep(1_500);
        return page;
      };
      await clock.advance(3_500);
      const responseMilliseconds = replica.stalenessMilliseconds;
      assert.ok(responseMilliseconds >= 1_500, `${responseMilliseconds} ms`);
      fixture.abortController.abort();
    });
  });

  describe('when the log has trimmed its first records', () => {
    it('is not ready from the remaining records alone', async () => {
      const fixture = new Fixture();
      fixture.append('a', 1);
      fixture.append('b', 1);
      fixture.log.trim(CONFIGURATION_STREAM, 2);
      const replica = fixture.startReplica();
      await fixture.clock.advance(5_000);
      assert.equal(replica.isReady, false);
      assert.equal(replica.findUpdateSince(0), undefined);
      fixture.abortController.abort();
    });

    it('evaluates deferred changes against the restated value', async () => {
      const fixture = new Fixture();
      const old = fixture.startReplica();
      fixture.append('a', 'first');
      fixture.append('a', 'second', 1);
      await fixture.clock.advance(100);
      // A conflicting change with an outdated base precedes the restatement.
      fixture.append('a', 'loser', 1);
      await fixture.log.append(
        CONFIGURATION_STREAM,
        old.table.createRestatement(),
      );
      fixture.append('a', 'third', 2);
      await fixture.clock.advance(100);
      fixture.log.trim(CONFIGURATION_STREAM, 3);
      const fresh = fixture.startReplica();
      await fixture.clock.advance(2_000);
      assert.equal(fresh.isReady, true);
      assert.equal(fresh.table.get('a'), 'third');
      assert.deepEqual(
        fresh.table.createRestatement(),
        old.table.createRestatement(),
      );
      fixture.abortController.abort();
    });

    it('ignores a restatement that leaves a gap to the earliest record', async () => {
      const fixture = new Fixture();
      const old = fixture.startReplica();
      fixture.append('a', 1);
      await fixture.clock.advance(100);
      const stale = old.table.createRestatement();
      fixture.append('b', 1);
      fixture.append('c', 1);
      await fixture.log.append(CONFIGURATION_STREAM, stale);
      await fixture.clock.advance(100);
      fixture.log.trim(CONFIGURATION_STREAM, 3);
      const fresh = fixture.startReplica();
      await fixture.clock.advance(3_000);
      assert.equal(fresh.isReady, false);
      const update = old.findUpdateSince(0);
      assert.ok(update !== undefined);
      assert.equal(fresh.applyUpdate(update), true);
      assert.equal(fresh.isReady, true);
      assert.equal(fresh.table.get('b'), 1);
      fixture.abortController.abort();
    });

    it('appends a restatement at the maximum age even without changes', async () => {
      const fixture = new Fixture();
      fixture.append('a', 1);
      fixture.startReplica(0);
      await fixture.clock.advance(601_000);
      const records = fixture.log.recordsOf(CONFIGURATION_STREAM);
      const last = records.at(-1)?.value as {kind: string};
      assert.equal(last.kind, 'restatement');
      fixture.abortController.abort();
    });
  });

  describe('when it does not read the log itself', () => {
    it('reads it once the table is staler than the timeout', async () => {
      const fixture = new Fixture();
      const replica = new ConfigurationReplica({
        log: fixture.log,
        clock: fixture.clock,
        random: () => 0.5,
        longPollMilliseconds: 100,
        pollerRank: () => undefined,
      });
      fixture.append('a', 1);
      void replica.run(fixture.abortController.signal);
      await fixture.clock.advance(500);
      assert.equal(replica.table.get('a'), 1);
      fixture.append('a', 2, 1);
      await fixture.clock.advance(3_000);
      assert.equal(replica.table.get('a'), 2);
      fixture.abortController.abort();
    });

    it('does not treat peers that cannot reach the log as fresh', async () => {
      const fixture = new Fixture();
      fixture.append('a', 1);
      const left = fixture.startReplica(-1);
      const right = fixture.startReplica(-1);
      await fixture.clock.advance(500);
      for (let elapsed = 0; elapsed < 4_000; elapsed += 100) {
        left.recordStaleness(right.stalenessMilliseconds);
        right.recordStaleness(left.stalenessMilliseconds);
        if (elapsed === 500) {
          fixture.append('a', 2, 1);
        }
        await fixture.clock.advance(100);
      }
      assert.equal(left.table.get('a'), 2);
      assert.equal(right.table.get('a'), 2);
      fixture.abortController.abort();
    });
  });
});
