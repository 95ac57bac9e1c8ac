/**
 * Tests of claims while the log loses responses, is unavailable, or serves
 * several processes: guards against two processes acting on one key and
 * against keys that stay blocked.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {InMemoryLog} from '../in_memory_log/in_memory_log.js';
import {VirtualClock} from '../virtual_clock/virtual_clock.js';
import {ClaimLog, type ClaimResult} from './claim_log.js';

class Fixture {
  readonly clock = new VirtualClock();
  readonly log = new InMemoryLog(this.clock);
  readonly abortController = new AbortController();

  startClaimLog(): ClaimLog {
    const claims = new ClaimLog({
      log: this.log,
      clock: this.clock,
      random: () => 0.5,
      longPollMilliseconds: 1_000,
      batchMilliseconds: () => 5,
      windowMilliseconds: 60_000,
    });
    void claims.run(this.abortController.signal);
    return claims;
  }

  claim(
    claims: ClaimLog,
    attempt: string,
    milliseconds = 2_000,
  ): Promise<ClaimResult> {
    const deadline = this.clock.now() + milliseconds;
    return claims.claim({key: 'k', attempt, fingerprint: 'f', deadline});
  }
}

describe('ClaimLog', () => {
  it('grants a key to exactly one of two competing processes', async () => {
    const fixture = new Fixture();
    const [left, right] = [fixture.startClaimLog(), fixture.startClaimLog()];
    const results = Promise.all([
      fixture.claim(left, 'left'),
      fixture.claim(right, 'right'),
    ]);
    await fixture.clock.advance(1_000);
    const kinds = (await results).map(({kind}) => kind).sort();
    assert.deepEqual(kinds, ['lost', 'won']);
    fixture.abortController.abort();
  });

  it('batches concurrent claims into one append', async () => {
    const fixture = new Fixture();
    const claims = fixture.startClaimLog();
    const deadline = 2_000;
    const results = Promise.all(
      Array.from({length: 100}, (_, index) =>
        claims.claim({
          key: `k${index}`,
          attempt: `a${index}`,
          fingerprint: '',
          deadline,
        }),
      ),
    );
    await fixture.clock.advance(1_000);
    assert.ok((await results).every(({kind}) => kind === 'won'));
    assert.equal(claims.appendCount, 1);
    fixture.abortController.abort();
  });

  describe('when the response to an append is lost', () => {
    it('resolves the claim by reading the stream', async () => {
      const fixture = new Fixture();
      const claims = fixture.startClaimLog();
      fixture.log.appendResponsesToDrop = 3;
      const result = fixture.claim(claims, 'a');
      await fixture.clock.advance(2_000);
      assert.equal((await result).kind, 'won');
      fixture.abortController.abort();
    });
  });

  describe('during an outage of the log', () => {
    it('times out at the deadline and frees the key afterwards', async () => {
      const fixture = new Fixture();
      const [first, second] = [
        fixture.startClaimLog(),
        fixture.startClaimLog(),
      ];
      await fixture.clock.advance(100);
      fixture.log.outage = true;
      const result = fixture.claim(first, 'early');
      await fixture.clock.advance(2_100);
      assert.equal((await result).kind, 'gave_up');
      fixture.log.outage = false;
      await fixture.clock.advance(10_000);
      const later = fixture.claim(second, 'later');
      await fixture.clock.advance(1_000);
      assert.equal((await later).kind, 'won');
      fixture.abortController.abort();
    });
  });

  describe('when the holder records its response', () => {
    it('returns it to waiting processes', async () => {
      const fixture = new Fixture();
      const [left, right] = [fixture.startClaimLog(), fixture.startClaimLog()];
      const won = fixture.claim(left, 'left');
      await fixture.clock.advance(500);
      assert.equal((await won).kind, 'won');
      const waiting = right.waitForResponse('k', fixture.clock.now() + 5_000);
      left.recordOutcome({
        key: 'k',
        attempt: 'left',
        status: 200,
        bodyBase64: 'e30=',
        contentType: 'application/json',
      });
      await fixture.clock.advance(1_000);
      assert.equal((await waiting)?.response?.status, 200);
      fixture.abortController.abort();
    });
  });

  describe('when the claim is older than the retention window', () => {
    it('evicts the claim', async () => {
      const fixture = new Fixture();
      const claims = fixture.startClaimLog();
      void fixture.claim(claims, 'a');
      await fixture.clock.advance(1_000);
      assert.equal(claims.claimCount, 1);
      await fixture.clock.advance(61_000);
      assert.equal(claims.claimCount, 0);
      fixture.abortController.abort();
    });
  });
});
