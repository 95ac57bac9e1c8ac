/**
 * Costs at the target size, computed from measured slopes.
 */
import type {Slope} from '../slopes/measure.js';
import {SETTINGS, TARGET} from './target.js';

const SECONDS_PER_DAY = 86_400;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_PERCENT = 10_000;

/** One row of the capacity table, with the derivation of its value. */
export interface CapacityRow {
  readonly role: string;
  readonly quantity: string;
  readonly derivation: string;
  readonly value: number;
  readonly unit: string;
  readonly limit?: number;
}

/** Looks up slopes by name, unit and the item that their size counts. */
class SlopeTable {
  constructor(private readonly slopes: readonly Slope[]) {}

  /** Computes the cost at a size; a negative intercept counts as 0. */
  computeCost(name: string, unit: string, per: string, size: number): number {
    const {intercept, slope} = this.find(name, unit, per);
    return Math.max(0, intercept) + slope * size;
  }

  /** Returns the additional cost of one more item. */
  getMarginalCost(name: string, unit: string, per: string): number {
    return this.find(name, unit, per).slope;
  }

  private find(name: string, unit: string, per: string): Slope {
    const match = this.slopes.find(
      slope => slope.name === name && slope.unit === unit && slope.per === per,
    );
    if (match === undefined) {
      throw new Error(`there is no slope "${name}" in ${unit} per ${per}`);
    }
    return match;
  }
}

/**
 * Computes all rows of the capacity table.
 *
 * @param slopes - Measured slopes
 * @returns The rows, in the order of the document
 * @throws If a slope that a row needs is missing
 */
export function computeCapacity(
  slopes: readonly Slope[],
): readonly CapacityRow[] {
  const slopeTable = new SlopeTable(slopes);
  return [
    ...computeGateway(slopeTable),
    ...computeSidecar(slopeTable),
    ...computePlatform(slopeTable),
  ];
}

const subsetSize = SETTINGS.endpointsPerService * TARGET.models;
const memberCount = TARGET.gateways + TARGET.sidecars;
const membershipBytesPerSecond =
  (memberCount * SETTINGS.bytesPerMember) / SETTINGS.membershipPollSeconds;
const changeBytesPerSecond =
  (TARGET.changesPerDay * SETTINGS.bytesPerChange) / SECONDS_PER_DAY;
const tokensPerRequest = TARGET.tokensPerSecond / TARGET.requestsPerSecond;
const secondsPerRequest =
  (tokensPerRequest * TARGET.betweenTokensMilliseconds) /
  MILLISECONDS_PER_SECOND;

function computeGateway(slopeTable: SlopeTable): readonly CapacityRow[] {
  const role = 'gateway';
  const sidecars = 'sidecar in the subset';
  const tokens = TARGET.tokensPerSecond / TARGET.gateways;
  const openStreams =
    (TARGET.requestsPerSecond / TARGET.gateways) * secondsPerRequest;
  const perToken = slopeTable.getMarginalCost(
    'gateway, streamed tokens',
    'milliseconds of processor time',
    '1,000 tokens',
  );
  const controlBytesPerSecond = slopeTable.computeCost(
    'gateway control',
    'bytes a second',
    sidecars,
    subsetSize,
  );
  const baseBytes = slopeTable.computeCost(
    'gateway memory',
    'bytes',
    sidecars,
    subsetSize,
  );
  const streamBytes =
    openStreams *
    slopeTable.getMarginalCost('gateway memory', 'bytes', 'stream open');
  const keyBytes =
    TARGET.organisations *
    slopeTable.getMarginalCost(
      'configuration in memory',
      'bytes',
      'configuration key',
    );
  const histogramBytes =
    SETTINGS.histogramSeries *
    slopeTable.getMarginalCost('histograms in memory', 'bytes', 'series');
  return [
    {
      role,
      quantity: 'sidecars connected',
      derivation: '8 for each service x 3 models',
      value: subsetSize,
      unit: '',
    },
    {
      role,
      quantity: 'control, processor',
      derivation: 'slope "gateway control" at 24 sidecars',
      value: slopeTable.computeCost(
        'gateway control',
        'percent of a core',
        sidecars,
        subsetSize,
      ),
      unit: '% of a core',
      limit: TARGET.controlCorePercent,
    },
    {
      role,
      quantity: 'control, bytes',
      derivation:
        'slope at 24 + 970 members x 150 B / 10 s + 1,000 changes x 300 B a day',
      value:
        controlBytesPerSecond + membershipBytesPerSecond + changeBytesPerSecond,
      unit: 'B/s',
      limit: TARGET.controlBytesPerSecond,
    },
    {
      role,
      quantity: 'streams open',
      derivation: '7,400 / 370 requests/s x 311 tokens x 78 ms',
      value: openStreams,
      unit: '',
    },
    {
      role,
      quantity: 'streamed tokens, processor',
      derivation: '2.3 million / 370 tokens/s x slope',
      value: (tokens * perToken) / 10_000,
      unit: '% of a core',
    },
    {
      role,
      quantity: 'memory',
      derivation:
        'slope at 24 + streams open x slope + 8,900 keys x slope + 512 series x slope',
      value: baseBytes + streamBytes + keyBytes + histogramBytes,
      unit: 'B',
      limit: TARGET.memoryBytes,
    },
    {
      role,
      quantity: 'policy of a request, processor',
      derivation: '20 requests/s x 3 x slope at 100 exceptions',
      value:
        (60 *
          slopeTable.computeCost(
            'policy of a request',
            'microseconds',
            'exception',
            100,
          )) /
        MICROSECONDS_PER_PERCENT,
      unit: '% of a core',
    },
  ];
}

function computeSidecar(slopeTable: SlopeTable): readonly CapacityRow[] {
  const role = 'sidecar';
  const gateways = 'gateway connected';
  const connected = (TARGET.gateways * subsetSize) / TARGET.sidecars;
  const tokens = TARGET.tokensPerSecond / TARGET.sidecars;
  const runningGenerations =
    (tokens * TARGET.betweenTokensMilliseconds) / MILLISECONDS_PER_SECOND;
  const perToken = slopeTable.getMarginalCost(
    'sidecar, streamed tokens',
    'milliseconds of processor time',
    '1,000 tokens',
  );
  const predictionMicroseconds = slopeTable.computeCost(
    'admission with the peak predicted anew',
    'microseconds',
    'generation running',
    runningGenerations,
  );
  const controlBytesPerSecond = slopeTable.computeCost(
    'sidecar control',
    'bytes a second',
    gateways,
    connected,
  );
  return [
    {
      role,
      quantity: 'gateways connected',
      derivation: '370 x 24 / 600',
      value: connected,
      unit: '',
    },
    {
      role,
      quantity: 'control, processor',
      derivation: 'slope "sidecar control" at 14.8 gateways',
      value: slopeTable.computeCost(
        'sidecar control',
        'percent of a core',
        gateways,
        connected,
      ),
      unit: '% of a core',
      limit: TARGET.controlCorePercent,
    },
    {
      role,
      quantity: 'control, bytes',
      derivation:
        'slope at 14.8 + 970 members x 150 B / 10 s + 1,000 changes x 300 B a day',
      value:
        controlBytesPerSecond + membershipBytesPerSecond + changeBytesPerSecond,
      unit: 'B/s',
      limit: TARGET.controlBytesPerSecond,
    },
    {
      role,
      quantity: 'generations running',
      derivation: '2.3 million / 600 tokens/s x 78 ms',
      value: runningGenerations,
      unit: '',
    },
    {
      role,
      quantity: 'admission, processor',
      derivation: '10 predictions a second x slope at 299 running',
      value:
        (SETTINGS.predictionsPerSecond * predictionMicroseconds) /
        MICROSECONDS_PER_PERCENT,
      unit: '% of a core',
    },
    {
      role,
      quantity: 'streamed tokens, processor',
      derivation: '2.3 million / 600 tokens/s x slope',
      value: (tokens * perToken) / 10_000,
      unit: '% of a core',
    },
  ];
}

function computePlatform(slopeTable: SlopeTable): readonly CapacityRow[] {
  const log = 'log';
  const pollers =
    TARGET.availabilityZones * SETTINGS.pollersPerAvailabilityZone;
  const keys = TARGET.organisations;
  const replayMicroseconds = slopeTable.computeCost(
    'configuration from a restatement',
    'microseconds',
    'configuration key',
    keys,
  );
  const claimsHeld = SETTINGS.claimAppendsPerSecond * 600;
  return [
    {
      role: log,
      quantity: 'configuration, reads',
      derivation: '5 zones x 3 pollers x 1 a second',
      value: pollers * SETTINGS.configurationReadsPerSecond,
      unit: '/s',
    },
    {
      role: log,
      quantity: 'configuration, reads if all polled',
      derivation: '970 x 1 a second',
      value: memberCount * SETTINGS.configurationReadsPerSecond,
      unit: '/s',
    },
    {
      role: log,
      quantity: 'suspicions, reads',
      derivation: '970 / 10 s',
      value: memberCount / SETTINGS.suspicionPollSeconds,
      unit: '/s',
    },
    {
      role: log,
      quantity: 'claims and outcomes, appends',
      derivation: 'shared by the writers of a service',
      value: SETTINGS.claimAppendsPerSecond,
      unit: '/s',
    },
    {
      role: log,
      quantity: 'claims held for 600 s at 300 a second, memory of each reader',
      derivation: '180,000 x slope',
      value:
        claimsHeld *
        slopeTable.getMarginalCost('claims in memory', 'bytes', 'claim held'),
      unit: 'B',
      limit: TARGET.memoryBytes,
    },
    {
      role: log,
      quantity: 'configuration of a starting process',
      derivation: '8,900 keys x slope',
      value: replayMicroseconds / MILLISECONDS_PER_SECOND,
      unit: 'ms of processor',
    },
    {
      role: log,
      quantity: 'claims of a starting process',
      derivation: '180,000 x slope',
      value:
        (claimsHeld *
          slopeTable.getMarginalCost(
            'claims replayed',
            'microseconds',
            'claim held',
          )) /
        MILLISECONDS_PER_SECOND,
      unit: 'ms of processor',
    },
    {
      role: 'membership list',
      quantity: 'bytes sent, all readers',
      derivation: '970 x 970 members x 150 B / 10 s',
      value: memberCount * membershipBytesPerSecond,
      unit: 'B/s',
    },
    {
      role: 'membership list',
      quantity: 'bytes to one reader at the default of 1 s',
      derivation: '970 members x 150 B / 1 s',
      value: memberCount * SETTINGS.bytesPerMember,
      unit: 'B/s',
      limit: TARGET.controlBytesPerSecond,
    },
  ];
}
