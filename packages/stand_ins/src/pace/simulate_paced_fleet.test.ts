/**
 * Tests the choice among engines of different pace in virtual time, with the real
 * estimates, limits and costs. Each test names its load and the failure that it
 * guards against.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {createRandom} from '../bench/seeded_random.js';
import type {PacedLoad, PacedResult} from './paced_request.js';
import {PacedFleet} from './simulate_paced_fleet.js';

/** Time between two stops of an engine, and until its replacement starts. */
const LIFETIME_MILLISECONDS = 19_000;

const ENGINES = 35;

/** Index pattern: a third of the engines needs 1.7 times the usual time, the others 0.7. */
function createFactors(count: number): number[] {
  return Array.from({length: count}, (_, index) =>
    index % 3 === 2 ? 1.7 : 0.7,
  );
}

/** Long reports and short summaries, at a multiple of the usual rate. */
function createLoads(multiple: number): PacedLoad[] {
  return [
    {
      kind: 'long',
      perSecond: 17 * multiple,
      promptTokens: 3_000,
      outputTokens: 750,
      targetLatencyMilliseconds: 1_800,
    },
    {
      kind: 'short',
      perSecond: 19 * multiple,
      promptTokens: 2_200,
      outputTokens: 8,
      targetLatencyMilliseconds: 1_500,
    },
  ];
}

function createFleet(
  seed: number,
  statesPace: boolean,
  {engines = ENGINES, gateways = 12, multiple = 1} = {},
): PacedFleet {
  return new PacedFleet({
    seed,
    gateways,
    factors: createFactors(engines),
    hasSlowPhases: true,
    statesPace,
    loads: createLoads(multiple),
  });
}

/** Runs 40 s in which each engine stops about every 19 s and is replaced. */
function runWithStops(fleet: PacedFleet): void {
  fleet.run(40_000, now => {
    fleet.engines.forEach((engine, index) => {
      const position = (now - 3_000 - index * 541) % LIFETIME_MILLISECONDS;
      if (now < 3_000 || position < 0) {
        return;
      }
      if (position === 0) {
        engine.stop();
      } else if (position === 50) {
        fleet.returnEngine(index, true);
      }
    });
  });
}

function averageOf<T>(items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0) / items.length;
}

function summarise(fleet: PacedFleet, kind: PacedResult['kind']) {
  const results = fleet.results.filter(
    result => result.kind === kind && result.sentAt > 3_000,
  );
  const done = results.filter(({outcome}) => outcome === 'done');
  const isSlow = ({engine}: PacedResult) =>
    Number(engine.slice('e-'.length)) % 3 === 2;
  return {
    onTime: averageOf(results, ({isOnTime}) => Number(isOnTime)),
    gapsOnTime: averageOf(done, ({longestGapMilliseconds}) =>
      Number(longestGapMilliseconds <= 180),
    ),
    milliseconds: averageOf(done, ({milliseconds}) => milliseconds),
    interrupted: 1 - done.length / results.length,
    atSlow: averageOf(results, result => Number(isSlow(result))),
  };
}

function countPreemptions(fleet: PacedFleet): number {
  return fleet.engines.reduce((sum, {preemptions}) => sum + preemptions, 0);
}

describe('placement by pace', () => {
  for (const seed of [1, 2]) {
    it(`sends long outputs to fast engines and short ones to slow ones: usual load, engines that stop every 19 s, seed ${seed}`, () => {
      const [before, now] = [false, true].map(statesPace => {
        const fleet = createFleet(seed, statesPace);
        runWithStops(fleet);
        const long = summarise(fleet, 'long');
        return {long, short: summarise(fleet, 'short')};
      });
      assert.ok(before !== undefined && now !== undefined);
      const text = JSON.stringify({before, now});
      assert.ok(now.long.onTime > before.long.onTime + 0.06, text);
      assert.ok(now.long.gapsOnTime > 0.97, text);
      assert.ok(now.long.milliseconds < 0.92 * before.long.milliseconds, text);
      assert.ok(now.long.interrupted < before.long.interrupted, text);
      assert.ok(now.long.atSlow < 0.05 && now.short.atSlow > 0.5, text);
      assert.ok(now.short.onTime > before.short.onTime - 0.03, text);
    });
  }

  it('does not overfill the fast engines: 1.7 times the load, 4 seeds', () => {
    const [before, now] = [false, true].map(statesPace => {
      const runs = [1, 2, 3, 4].map(seed => {
        const fleet = createFleet(seed, statesPace, {multiple: 1.7});
        runWithStops(fleet);
        return {
          preemptions: countPreemptions(fleet),
          long: summarise(fleet, 'long').onTime,
          short: summarise(fleet, 'short').onTime,
        };
      });
      return {
        preemptions: averageOf(runs, run => run.preemptions),
        long: averageOf(runs, run => run.long),
        short: averageOf(runs, run => run.short),
      };
    });
    assert.ok(before !== undefined && now !== undefined);
    const text = JSON.stringify({before, now});
    assert.ok(now.preemptions < 1.25 * before.preemptions, text);
    assert.ok(now.long > before.long, text);
    assert.ok(now.short > before.short - 0.03, text);
  });

  it('ranks 0.98 of its estimates right, and none far off, in slow phases of 2.5 for 15% of the time: usual load', () => {
    const fleet = createFleet(3, true);
    const ranked: boolean[] = [];
    fleet.run(5_000);
    for (let second = 0; second < 10; second += 1) {
      fleet.run(1_000);
      for (const gateway of fleet.gateways) {
        for (const {endpoint, paceMilliseconds} of gateway.loads.listPaces()) {
          const isSlow = Number(endpoint.slice('e-'.length)) % 3 === 2;
          ranked.push(paceMilliseconds > 38 === isSlow);
          // Four steps without requests take 20 and 48 ms, and a phase 50 and 119.
          assert.ok(
            paceMilliseconds > (isSlow ? 34 : 18) &&
              paceMilliseconds < (isSlow ? 100 : 46),
            `${endpoint}: ${paceMilliseconds}`,
          );
        }
      }
    }
    const share = averageOf(ranked, Number);
    assert.ok(share > 0.98, `${share}`);
  });

  it('avoids 4 engines that turn slow for long outputs within 1.5 s: usual load', () => {
    const [before, now] = [false, true].map(statesPace => {
      const fleet = createFleet(4, statesPace);
      fleet.run(8_000);
      const slowed = [0, 1, 3, 4].map(index => fleet.getEngine(index));
      slowed.forEach(engine => (engine.factor = 3.5));
      const ids = slowed.map(({entry}) => entry.id);
      fleet.run(40_000);
      return fleet.results.filter(
        ({engine, kind, sentAt}) =>
          ids.includes(engine) &&
          kind === 'long' &&
          sentAt > 9_500 &&
          sentAt < 20_000,
      ).length;
    });
    assert.ok(now === 0 && (before ?? 0) >= 5, `${now} ${before}`);
  });

  it('knows the slow engines at a gateway that has just started: usual load', () => {
    const fleet = createFleet(5, true);
    fleet.run(8_000);
    const gateway = fleet.addGateway();
    fleet.run(15_000);
    const long = fleet.results.filter(
      result => result.gateway === gateway && result.kind === 'long',
    );
    const atSlow = long.filter(
      ({engine}) => Number(engine.slice('e-'.length)) % 3 === 2,
    );
    assert.ok(long.length >= 5, `${long.length}`);
    assert.ok(atSlow.length <= 1, `${atSlow.length} of ${long.length}`);
  });
});

describe('return of an engine', () => {
  const RETURN_AT = 10_000;

  /** Returns what callers get in the first 2 s, and when it carries its share. */
  function returnEngine(mode: 'none' | 'fixed' | 'ours', seed: number) {
    const options = {engines: 12, gateways: 20, multiple: 0.75};
    const fleet = createFleet(seed, true, options);
    fleet.run(8_000);
    fleet.getEngine(0).stop();
    fleet.run(2_000);
    fleet.returnEngine(0, mode === 'ours');
    const random = createRandom(seed);
    if (mode === 'fixed') {
      fleet.findCandidates = now =>
        fleet.engines.filter(
          (_, index) => index !== 0 || random() < (now - RETURN_AT) / 5_000,
        );
    }
    const shares: number[] = [];
    let carriesAt = Number.POSITIVE_INFINITY;
    fleet.run(10_000, now => {
      if (now % 50 === 0) {
        const fast = fleet.engines.filter((_, index) => index % 3 !== 2);
        const mean = averageOf(fast, ({openRuns}) => openRuns);
        shares.push(fleet.getEngine(0).openRuns / mean);
        const recent = shares.slice(-10);
        if (recent.length === 10 && averageOf(recent, share => share) >= 0.8) {
          carriesAt = Math.min(carriesAt, now - RETURN_AT);
        }
      }
    });
    const first = fleet.results.filter(
      ({sentAt}) => sentAt >= RETURN_AT && sentAt < RETURN_AT + 2_000,
    );
    const there = first.filter(({engine}) => engine === 'e-0');
    return {
      there: averageOf(there, ({isOnTime}) => Number(isOnTime)),
      everywhere: averageOf(first, ({isOnTime}) => Number(isOnTime)),
      carriesAt,
    };
  }

  it('serves its first requests in time and carries 0.8 of an equal share within 5 s on average: overload of 12 engines, 20 gateways', () => {
    const summaries = (['none', 'fixed', 'ours'] as const).map(mode => {
      const runs = [1, 2, 3, 4, 5].map(seed => returnEngine(mode, seed));
      return {
        there: averageOf(runs, run => run.there),
        everywhere: averageOf(runs, run => run.everywhere),
        carriesAt: averageOf(runs, run => run.carriesAt),
      };
    });
    const [none, fixed, ours] = summaries;
    const text = JSON.stringify({none, fixed, ours});
    assert.ok(none !== undefined && fixed !== undefined && ours !== undefined);
    assert.ok(ours.there > none.there + 0.2, text);
    assert.ok(ours.everywhere >= none.everywhere, text);
    assert.ok(ours.carriesAt < 5_000, text);
  });
});

describe('endpoints that fail', () => {
  /** Counts the requests that an engine loses after the first 8 s, in 10 s. */
  function countLost(failureShare: number, statesPace: boolean) {
    const fleet = createFleet(6, statesPace);
    fleet.run(8_000);
    fleet.getEngine(0).failureShare = failureShare;
    fleet.run(10_000);
    return fleet.results.filter(({outcome}) => outcome === 'refused').length;
  }

  for (const [name, failureShare] of [
    ['a grey failure of 0.3 of the requests', 0.3],
    ['false health: all requests fail', 1],
  ] as const) {
    it(`loses fewer requests than before: ${name}, usual load`, () => {
      const before = countLost(failureShare, false);
      const now = countLost(failureShare, true);
      assert.ok(now <= before, `${now} ${before}`);
    });
  }
});
