/**
 * Cost of decisions and tables as a function of their size.
 */
import {
  ClaimTable,
  ConfigurationTable,
  resolvePolicy,
  selectEndpointSubset,
  selectLogPollers,
} from '@briarpin/coordination';
import {HistogramRegistry} from '@briarpin/telemetry';
import type {Member} from '@briarpin/messages';
import {
  chooseEndpoint,
  EngineScheduler,
  type EndpointCandidate,
  type GenerationRequest,
} from '@briarpin/scheduling';

import {createRandom} from '../bench/seeded_random.js';
import {
  fitSlope,
  measureHeapBytes,
  measureCpuMicroseconds,
  type Slope,
} from './measure.js';

const SEED = 7;
const UNLIMITED_MILLISECONDS = 1e12;
const POLICY = {
  initialMarginDeviations: 2.5,
  preemptionTargetPerThousand: 2,
  waitingMinimumShare: 0.2,
};
const REQUEST_POLICY = {
  urgentAllowanceTokensPerSecond: 1_000,
  maximumWaitingPerOrganisation: 1_000_000,
  maximumWaitMilliseconds: UNLIMITED_MILLISECONDS,
};

/** Measures all decisions and tables, each at four sizes. */
export function measureDecisions(): readonly Slope[] {
  return [
    // Memory first: garbage of the other measurements would distort it.
    measureConfigurationMemory(),
    measureClaimMemory(),
    measureHistogramMemory(),
    measureFairQueue(),
    measureAdmission(),
    measureEndpointSelection(),
    measureConfigurationReplay(),
    measurePolicyResolution(),
    measureClaimReplay(),
    measureEndpointSubset(),
    measureLogPollers(),
  ];
}

function createRequest(
  index: number,
  organisations: number,
): GenerationRequest {
  return {
    id: `r${index}`,
    organisation: `o${index % organisations}`,
    requestClass: 'standard',
    model: 'm',
    promptTokens: 50,
    maximumTokens: 4_096,
    deadline: UNLIMITED_MILLISECONDS,
    weight: 1,
    suspectedDeaths: 0,
  };
}

function createScheduler(capacityTokens: number): EngineScheduler {
  return new EngineScheduler({
    capacityTokens,
    policy: POLICY,
    maximumWaiting: 1_000_000,
  });
}

/** Measures submitting and starting a request while many organisations wait. */
function measureFairQueue(): Slope {
  const sizes = [500, 2_000, 8_900, 35_600];
  const points = sizes.map(size => {
    const scheduler = createScheduler(1e12);
    for (let index = 0; index < size; index += 1) {
      scheduler.submit(createRequest(index, size), REQUEST_POLICY, 0);
    }
    const cost = measureCpuMicroseconds(5_000, index => {
      const request = createRequest(size + index, size);
      scheduler.submit(request, REQUEST_POLICY, 0);
      const startOrder = scheduler.startNext(0);
      if (startOrder !== undefined) {
        scheduler.recordEnd(startOrder.request.id, true, 0);
      }
    });
    return {size, cost};
  });
  const units = {per: 'organisation waiting', unit: 'microseconds'};
  return fitSlope('fair queue, one request in and out', units, points);
}

/**
 * Measures an admission decision that starts nothing, with many running and
 * 10,000 waiting requests.
 */
function measureAdmission(): Slope {
  const points = [64, 256, 512, 1_024].map(size => {
    const scheduler = createScheduler(size * 400);
    for (let index = 0; index < 2_000; index += 1) {
      const request = createRequest(index, 10);
      scheduler.recordLength(request, 100 + (index % 300));
    }
    for (let index = 0; index < size + 10_000; index += 1) {
      scheduler.submit(createRequest(index, 100), REQUEST_POLICY, 0);
    }
    let startedCount = 0;
    while (startedCount < size && scheduler.startNext(0) !== undefined) {
      startedCount += 1;
    }
    // Calls are 100 ms apart, so that each one recomputes the predicted peak.
    const cost = measureCpuMicroseconds(300, index => {
      scheduler.startNext((index + 1) * 100);
    });
    return {size, cost};
  });
  const units = {per: 'generation running', unit: 'microseconds'};
  return fitSlope('admission with the peak predicted anew', units, points);
}

function measureEndpointSelection(): Slope {
  const random = createRandom(SEED);
  const points = [24, 150, 300, 600].map(size => {
    const candidates = Array.from(
      {length: size},
      (_, index): EndpointCandidate => ({
        instance: `e${index}`,
        reportedWaitMilliseconds: random() * 100,
        reportAgeMilliseconds: 100,
        sentSinceReport: 0,
        openRequests: 1,
        waitPerRequestMilliseconds: 10,
        roundTripMilliseconds: 1,
        isOtherRegion: index % 2 === 0,
        cachedPromptTokens: 0,
        isStalled: false,
      }),
    );
    const cost = measureCpuMicroseconds(3_000, () => {
      chooseEndpoint(candidates, {
        random,
        otherRegionsAllowed: true,
        millisecondsPerPromptToken: 0.05,
      });
    });
    return {size, cost};
  });
  const units = {per: 'endpoint known', unit: 'microseconds'};
  return fitSlope('choice of endpoint', units, points);
}

function createConfigurationTable(keys: number): ConfigurationTable {
  const table = new ConfigurationTable();
  for (let index = 0; index < keys; index += 1) {
    table.applyChange(
      {
        kind: 'change',
        changeId: `change-${index}`,
        key: `organisations.organisation-${index}`,
        value: {keySha256: [index.toString(16).padStart(64, '0')]},
        baseOffset: 0,
      },
      index + 1,
    );
  }
  return table;
}

const KEY_COUNTS = [1_000, 4_000, 8_900, 17_800];

function measureConfigurationMemory(): Slope {
  // Warms up: the first fill also allocates memory for compiled code.
  createConfigurationTable(1_000);
  const points = KEY_COUNTS.map(size => {
    const before = measureHeapBytes();
    const table = createConfigurationTable(size);
    const cost = measureHeapBytes() - before;
    return {size: table.size, cost};
  });
  const units = {per: 'configuration key', unit: 'bytes'};
  return fitSlope('configuration in memory', units, points);
}

function measureConfigurationReplay(): Slope {
  const points = KEY_COUNTS.map(size => {
    const restatement = createConfigurationTable(size).createRestatement();
    const cost = measureCpuMicroseconds(3, () => {
      new ConfigurationTable().applyRestatement(restatement);
    });
    return {size, cost};
  });
  const units = {per: 'configuration key', unit: 'microseconds'};
  return fitSlope('configuration from a restatement', units, points);
}

function measurePolicyResolution(): Slope {
  const points = [5, 20, 80, 320].map(size => {
    const table = createConfigurationTable(8_900);
    for (let index = 0; index < size; index += 1) {
      const value = {
        match: {organisation: `organisation-${index}`},
        set: {weight: 2},
        reason: 'measured with many exceptions',
      };
      const offset = table.version + 1;
      const changeId = `exception-${index}`;
      const key = `exceptions.${index}`;
      table.applyChange(
        {kind: 'change', changeId, key, value, baseOffset: 0},
        offset,
      );
    }
    const cost = measureCpuMicroseconds(2_000, index => {
      resolvePolicy(table, {organisation: `organisation-${index % 500}`});
    });
    return {size, cost};
  });
  const units = {per: 'exception', unit: 'microseconds'};
  return fitSlope('policy of a request', units, points);
}

function createClaimTable(claims: number): ClaimTable {
  const table = new ClaimTable();
  for (let index = 0; index < claims; index += 1) {
    const entry = {
      key: index.toString(16).padStart(64, '0'),
      attempt: `attempt-${index}@sidecar-${index % 600}`,
      fingerprint: index.toString(16).padStart(64, 'f'),
      at: index,
    };
    table.apply({kind: 'claim', ...entry}, index);
    const answer = {status: 200, bodyBase64: 'e30=', contentType: 'a/b'};
    table.apply({kind: 'outcome', ...entry, ...answer}, index);
  }
  return table;
}

const CLAIM_COUNTS = [5_000, 20_000, 50_000, 100_000];

function measureClaimMemory(): Slope {
  const points = CLAIM_COUNTS.map(size => {
    const before = measureHeapBytes();
    const table = createClaimTable(size);
    const cost = measureHeapBytes() - before;
    return {size: table.size, cost};
  });
  const units = {per: 'claim held', unit: 'bytes'};
  return fitSlope('claims in memory', units, points);
}

function measureClaimReplay(): Slope {
  const points = CLAIM_COUNTS.map(size => ({
    size,
    cost: measureCpuMicroseconds(1, () => createClaimTable(size)),
  }));
  const units = {per: 'claim held', unit: 'microseconds'};
  return fitSlope('claims replayed', units, points);
}

function createMembers(count: number): readonly Member[] {
  return Array.from({length: count}, (_, index) => ({
    instance: `instance-${index}`,
    service: 's',
    address: `10.0.0.1:${index}`,
    availabilityZone: `zone-${index % 5}`,
    region: `region-${index % 2}`,
    state: 'live' as const,
  }));
}

const MEMBER_COUNTS = [100, 300, 600, 970];

function measureEndpointSubset(): Slope {
  const points = MEMBER_COUNTS.map(size => {
    const members = createMembers(size);
    const cost = measureCpuMicroseconds(20, () => {
      selectEndpointSubset(members, {
        instance: 'gateway-1',
        availabilityZone: 'zone-1',
        region: 'region-1',
        size: 24,
      });
    });
    return {size, cost};
  });
  const units = {per: 'endpoint listed', unit: 'microseconds'};
  return fitSlope('subset of endpoints', units, points);
}

function measureLogPollers(): Slope {
  const points = MEMBER_COUNTS.map(size => {
    const members = createMembers(size);
    const cost = measureCpuMicroseconds(20, () => {
      selectLogPollers(members, 'zone-1');
    });
    return {size, cost};
  });
  const units = {per: 'member listed', unit: 'microseconds'};
  return fitSlope('log pollers', units, points);
}

function measureHistogramMemory(): Slope {
  createHistogramRegistry(200);
  const points = [128, 512, 1_024, 2_048].map(size => {
    const before = measureHeapBytes();
    const registry = createHistogramRegistry(size);
    const cost = measureHeapBytes() - before;
    return {size: registry.size, cost};
  });
  const units = {per: 'series', unit: 'bytes'};
  return fitSlope('histograms in memory', units, points);
}

function createHistogramRegistry(series: number): HistogramRegistry {
  const random = createRandom(SEED);
  const registry = new HistogramRegistry(series);
  for (let index = 0; index < series * 20; index += 1) {
    const organisation = `organisation-${index % series}`;
    const value = random() ** 4 * 100_000;
    registry.record('stall_milliseconds', organisation, 'urgent', value);
  }
  return registry;
}
