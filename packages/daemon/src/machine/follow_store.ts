/**
 * Follows the topics that operators, endpoints and gateways write to the store.
 */
import {
  followKeyedTopic,
  SuspicionReplica,
  type AwaitedRead,
  type Clock,
  type StalenessTracker,
  type EndpointEntry,
  type EndpointRegistry,
  type EvacuatedZones,
  type FollowKeyedTopicOptions,
  type FreshnessExchange,
  type KeyedRecord,
  type KeyedTopicStore,
  type RoutingConfiguration,
  type SuspicionTable,
} from '@briarpin/coordination';
import {
  CONFIGURATION_KEY,
  decodeEndpoint,
  decodeRouting,
  ENDPOINTS_TOPIC,
  OPERATORS_TOPIC,
} from '@briarpin/machines';
import {validateGatewayRegistration} from '@briarpin/messages';
import {parseJson} from '@briarpin/platform';
import type {ColdEndpoints, GatewayPeer} from '@briarpin/forwarding';
import {isUsableAddress} from '@briarpin/settings';
import {runTask, type EventLogger} from '@briarpin/telemetry';

import {
  applyEvacuationRecords,
  applyEvacuationSnapshot,
} from './apply_evacuations.js';
import {
  delayEndpointsRead,
  type EndpointReaders,
} from './delay_endpoints_read.js';
import {
  applyTopicTo,
  keepSuspicionsStored,
  SUSPICIONS_TOPIC,
} from './share_suspicions.js';

/** Topic in which gateways publish the addresses that receive reports. */
export const GATEWAYS_TOPIC = 'keyed.gateways';

/** Maximum duration of a long poll of the endpoints. */
const ENDPOINTS_POLL_MILLISECONDS = 2_000;

/** Maximum duration of a long poll of the gateways; no operation waits for it. */
const GATEWAYS_POLL_MILLISECONDS = 30_000;

/** Maximum duration of a long poll of the suspicions. */
const SUSPICIONS_POLL_MILLISECONDS = 15_000;

/**
 * Delay between records of gateways and the next read. A long delay suffices:
 * every gateway writes a record periodically, and new gateways are discovered
 * by the reports that they send.
 */
const GATEWAYS_BATCH_MILLISECONDS = 8_000;

/** Delay between suspicions and the next read. */
const SUSPICIONS_BATCH_MILLISECONDS = 300;

/** State that has been read from the store. */
export interface StoreState {
  /** Configuration in force; absent until the first one has been read. */
  configuration?: RoutingConfiguration;
  /** True once a snapshot of the endpoints has been read. */
  hasEndpoints: boolean;
}

/** Maximum times until a change takes effect, in milliseconds. */
export interface StoreBounds {
  /** Between a change of the configuration and its application. */
  readonly configurationMilliseconds: number;
  /** Between the revocation of a key and its rejection. */
  readonly revocationMilliseconds: number;
  /** Between the shutdown notice of an endpoint and its last new request. */
  readonly drainMilliseconds: number;
}

/** Options of {@link followStore}. */
export interface FollowStoreOptions extends EndpointReaders {
  readonly store: KeyedTopicStore;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly signal: AbortSignal;
  readonly storeState: StoreState;
  /** Receives a confirmation for each read of the configuration. */
  readonly stalenessTracker: StalenessTracker;
  /** Decides when this gateway reads the configuration itself. */
  readonly configurationFreshness: FreshnessExchange;
  /** Zones that operators have evacuated, kept equal to the store. */
  readonly evacuatedZones: EvacuatedZones;
  readonly endpoints: EndpointRegistry;
  readonly coldEndpoints: ColdEndpoints;
  /** Reads of the endpoints that requests wait for. */
  readonly endpointsRead: AwaitedRead;
  readonly bounds: StoreBounds;
  /** Called after each successful read of the endpoints. */
  readonly onEndpointsRead: () => void;
  /** Suspicions of all gateways, kept equal to the store. */
  readonly suspicionTable: SuspicionTable;
  /** Name of this gateway. */
  readonly gateway: string;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onGateways: (gateways: readonly GatewayPeer[]) => void;
}

type TopicOptions = Pick<
  FollowKeyedTopicOptions,
  | 'onSnapshot'
  | 'onRecords'
  | 'onReadStart'
  | 'onStoreRestored'
  | 'waitForNextRead'
  | 'longPollMilliseconds'
  | 'isUrgent'
>;

/** Follows all topics in background tasks until the signal is aborted. */
export function followStore(options: FollowStoreOptions): void {
  const follow = (topic: string, topicOptions: TopicOptions) => {
    const {store, clock, random, signal, logger} = options;
    const outageLogger = new OutageLogger(topic, options);
    const onReadStart = () => {
      const confirm = topicOptions.onReadStart();
      return (waitedMilliseconds: number, era: number | undefined) => {
        outageLogger.recordResponse();
        confirm(waitedMilliseconds, era);
      };
    };
    runTask(topic, logger, () =>
      followKeyedTopic(topic, {
        store,
        clock,
        random,
        signal,
        ...topicOptions,
        onReadStart,
        onStoreRestored: () => {
          logger.warn('store_restored', {topic});
          topicOptions.onStoreRestored?.();
        },
        onFailure: error => outageLogger.recordFailure(error.message),
      }),
    );
  };
  follow(OPERATORS_TOPIC, followConfiguration(options));
  follow(ENDPOINTS_TOPIC, followEndpoints(options));
  follow(GATEWAYS_TOPIC, followGateways(options));
  follow(SUSPICIONS_TOPIC, followSuspicions(options));
}

/** Logs the start and the end of an outage of a topic, not each failed read. */
class OutageLogger {
  private outageStartedAt: number | undefined;
  private failures = 0;

  constructor(
    private readonly topic: string,
    private readonly options: Pick<FollowStoreOptions, 'clock' | 'logger'>,
  ) {}

  recordFailure(message: string): void {
    const {clock, logger} = this.options;
    this.failures += 1;
    if (this.outageStartedAt === undefined) {
      this.outageStartedAt = clock.now();
      logger.warn('store_lost', {topic: this.topic, cause: message});
    }
  }

  recordResponse(): void {
    if (this.outageStartedAt === undefined) {
      return;
    }
    const {clock, logger} = this.options;
    logger.info('store_regained', {
      topic: this.topic,
      failures: this.failures,
      milliseconds: Math.round(clock.now() - this.outageStartedAt),
    });
    this.outageStartedAt = undefined;
    this.failures = 0;
  }
}

function followConfiguration(options: FollowStoreOptions): TopicOptions {
  const {stalenessTracker, configurationFreshness, endpoints} = options;
  const {evacuatedZones} = options;
  const applyRecords = (records: readonly KeyedRecord[]) =>
    records.forEach(record => applyConfiguration(record, options));
  return {
    longPollMilliseconds: () => configurationFreshness.longPollMilliseconds,
    isUrgent: () => configurationFreshness.isReader,
    waitForNextRead: signal => configurationFreshness.waitForNextRead(signal),
    onSnapshot: records => {
      applyRecords(records);
      applyEvacuationSnapshot(records, evacuatedZones);
    },
    onRecords: records => {
      applyRecords(records);
      applyEvacuationRecords(records, evacuatedZones);
    },
    onReadStart: () => {
      configurationFreshness.recordReadStart();
      const confirmZones = evacuatedZones.recordReadStart();
      const sentAt = stalenessTracker.readTime();
      return (waitedMilliseconds, era) => {
        confirmZones();
        configurationFreshness.recordRead({
          stateAt: Math.min(
            stalenessTracker.readTime(),
            sentAt + waitedMilliseconds,
          ),
          era,
        });
        // Endpoints may be read infrequently, but a response about the
        // configuration also proves that the store was available.
        endpoints.recordStoreResponse();
      };
    },
  };
}

/** Applies a configuration unless the current one is as new or newer. */
function applyConfiguration(
  {key, value}: KeyedRecord,
  {storeState, logger, onConfiguration}: FollowStoreOptions,
): void {
  if (key !== CONFIGURATION_KEY || value === undefined) {
    return;
  }
  const configuration = decodeRouting(value);
  if (configuration === undefined) {
    logger.warn('configuration_broken', {bytes: value.length});
    return;
  }
  const currentVersion =
    storeState.configuration?.version ?? Number.NEGATIVE_INFINITY;
  if (configuration.version <= currentVersion) {
    return;
  }
  storeState.configuration = configuration;
  logger.info('configuration', {
    version: configuration.version,
    routes: configuration.routes.length,
  });
  onConfiguration(configuration);
}

function followEndpoints(options: FollowStoreOptions): TopicOptions {
  const {endpoints, endpointsRead, storeState, coldEndpoints} = options;
  const recordEntries = (records: readonly KeyedRecord[]) =>
    records.forEach(({key}) => {
      const entry = endpoints.find(key);
      if (entry !== undefined) {
        coldEndpoints.recordEntry(entry);
      }
    });
  return {
    longPollMilliseconds: () => ENDPOINTS_POLL_MILLISECONDS,
    isUrgent: options.isReader,
    waitForNextRead: afterRecords(signal =>
      delayEndpointsRead(options, signal),
    ),
    onSnapshot: records => {
      endpoints.recordStoreResponse();
      const entries = records.map(record => decodeEntry(record, options));
      endpoints.replaceAll(entries.filter(entry => entry !== undefined));
      recordEntries(records);
      storeState.hasEndpoints = true;
    },
    onRecords: records => {
      endpoints.recordStoreResponse();
      applyEndpoints(records, options);
      recordEntries(records);
    },
    onStoreRestored: () => endpoints.startGracePeriod(),
    onReadStart: () => {
      const confirm = endpointsRead.recordReadStart();
      return waitedMilliseconds => {
        endpoints.evictExpired();
        coldEndpoints.evictExpired(id => endpoints.find(id) !== undefined);
        options.onEndpointsRead();
        confirm(waitedMilliseconds);
      };
    },
  };
}

function applyEndpoints(
  records: readonly KeyedRecord[],
  options: FollowStoreOptions,
): void {
  const {endpoints} = options;
  const entries = records.map(record =>
    record.value === undefined ? undefined : decodeEntry(record, options),
  );
  const lastEntries = new Map(
    entries.map((entry, index) => [records[index]?.key, entry]),
  );
  records.forEach(({key}, index) => {
    const entry = entries[index];
    const lastEntry = lastEntries.get(key);
    if (entry === undefined) {
      endpoints.remove(key, lastEntry);
    } else {
      endpoints.put(entry, lastEntry);
    }
  });
}

function decodeEntry(
  record: KeyedRecord,
  {logger}: FollowStoreOptions,
): EndpointEntry | undefined {
  const entry = decodeEndpoint(record);
  if (entry === undefined) {
    logger.warn('endpoint_entry_broken', {
      key: record.key,
      bytes: record.value?.length ?? 0,
    });
  }
  return entry;
}

function followGateways(options: FollowStoreOptions): TopicOptions {
  const peers = new Map<string, GatewayPeer>();
  const applyRecords = (records: readonly KeyedRecord[]) => {
    for (const record of records) {
      const peer = decodeGateway(record);
      if (peer === undefined) {
        peers.delete(record.key);
      } else {
        peers.set(record.key, peer);
      }
    }
    options.onGateways([...peers.values()]);
  };
  return {
    longPollMilliseconds: () => GATEWAYS_POLL_MILLISECONDS,
    isUrgent: () => false,
    waitForNextRead: afterRecords(signal =>
      options.clock.sleep(GATEWAYS_BATCH_MILLISECONDS, signal),
    ),
    onSnapshot: records => {
      peers.clear();
      applyRecords(records);
    },
    onRecords: applyRecords,
    onReadStart: () => () => undefined,
  };
}

/** Follows the suspicions, and stores those that the topic lacks. */
function followSuspicions(options: FollowStoreOptions): TopicOptions {
  const {suspicionTable: table, gateway, clock, logger} = options;
  const replica = new SuspicionReplica(table, gateway);
  runTask('suspicions', logger, () =>
    keepSuspicionsStored(replica, {...options, table}),
  );
  return {
    ...applyTopicTo(replica, logger),
    longPollMilliseconds: () => SUSPICIONS_POLL_MILLISECONDS,
    isUrgent: () => false,
    waitForNextRead: afterRecords(signal =>
      clock.sleep(SUSPICIONS_BATCH_MILLISECONDS, signal),
    ),
    onReadStart: () => () => undefined,
  };
}

/** Creates a delay that applies only after a read that returned records. */
function afterRecords(
  delay: (signal: AbortSignal) => Promise<void>,
): FollowKeyedTopicOptions['waitForNextRead'] {
  return (signal, hasRecords) =>
    hasRecords ? delay(signal) : Promise.resolve();
}

/** Encodes the address at which a gateway receives reports. */
export function encodeGateway({host, port}: GatewayPeer): Buffer {
  return Buffer.from(JSON.stringify({host, port}));
}

function decodeGateway({key, value}: KeyedRecord): GatewayPeer | undefined {
  const record = value === undefined ? undefined : parseJson(value);
  return validateGatewayRegistration(record) && isUsableAddress(record)
    ? {gateway: key, host: record.host, port: record.port}
    : undefined;
}
