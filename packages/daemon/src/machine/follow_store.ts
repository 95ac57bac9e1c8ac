/**
 * Keeping up with what operators, endpoints and gateways write to the store.
 */
import {
  followKeyedTopic,
  type Clock,
  type StalenessTracker,
  type EndpointEntry,
  type EndpointRegistry,
  type FollowKeyedTopicOptions,
  type KeyedRecord,
  type KeyedTopicStore,
  type RoutingConfiguration,
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
import type {GatewayPeer} from '@briarpin/forwarding';
import {runTask, type EventLogger} from '@briarpin/telemetry';

import {gatherEndpoints, type EndpointReaders} from './gather_endpoints.js';

/** Topic in which gateways tell where they take news of one another. */
export const GATEWAYS_TOPIC = 'keyed.gateways';

/**
 * How long the store holds a read of the configuration, as a part of the time
 * to put a change in force, and of the time to refuse a key. Each answer
 * confirms that nothing has changed; a read that is lost is noticed and
 * repeated within the rest.
 */
const CONFIGURATION_POLL_SHARE = 0.6;
const REVOCATION_POLL_SHARE = 0.4;

/** How long the store holds a read of endpoints. */
const ENDPOINTS_POLL_MILLISECONDS = 2_000;

/** How long the store holds a read of gateways; nothing waits for them. */
const GATEWAYS_POLL_MILLISECONDS = 15_000;

/**
 * Pause after records of gateways: every gateway writes one now and again, and
 * those that are new make themselves heard.
 */
const GATEWAYS_GATHER_MILLISECONDS = 8_000;

/** What is known from the store. */
export interface StoreKnowledge {
  configuration?: RoutingConfiguration;
  hasEndpoints: boolean;
}

/** Bounds that the reads must meet, in milliseconds. */
export interface StoreBounds {
  /** From a change of the configuration to its being in force. */
  readonly configurationMilliseconds: number;
  /** From a key's revocation to its being refused. */
  readonly revocationMilliseconds: number;
  /** From the notice of an endpoint to its getting no more work. */
  readonly drainMilliseconds: number;
}

/** What {@link followStore} needs. */
export interface FollowStoreOptions extends EndpointReaders {
  readonly store: KeyedTopicStore;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly signal: AbortSignal;
  readonly known: StoreKnowledge;
  /** Told of each answer about the configuration. */
  readonly guard: StalenessTracker;
  readonly endpoints: EndpointRegistry;
  readonly bounds: StoreBounds;
  /** Told of each answer about the endpoints. */
  readonly onEndpointsRead: () => void;
  readonly onConfiguration: (configuration: RoutingConfiguration) => void;
  readonly onGateways: (gateways: readonly GatewayPeer[]) => void;
}

type TopicOptions = Pick<
  FollowKeyedTopicOptions,
  'onSnapshot' | 'onRecords' | 'onRead' | 'gather' | 'longPollMilliseconds'
>;

/** Follows all topics in the background until the signal ends it. */
export function followStore(options: FollowStoreOptions): void {
  const follow = (topic: string, topicOptions: TopicOptions) => {
    const {store, clock, random, signal, logger} = options;
    const contact = new LoggedContact(topic, options);
    const onRead = () => {
      const confirm = topicOptions.onRead();
      return (waitedMilliseconds: number) => {
        contact.noteAnswer();
        confirm(waitedMilliseconds);
      };
    };
    runTask(topic, logger, () =>
      followKeyedTopic(topic, {
        store,
        clock,
        random,
        signal,
        ...topicOptions,
        onRead,
        onFailure: error => contact.noteFailure(error.message),
      }),
    );
  };
  follow(OPERATORS_TOPIC, followConfiguration(options));
  follow(ENDPOINTS_TOPIC, followEndpoints(options));
  follow(GATEWAYS_TOPIC, followGateways(options));
}

/** Logs when a topic is lost and regained, not each read that fails. */
class LoggedContact {
  private lostAt: number | undefined;
  private failures = 0;

  constructor(
    private readonly topic: string,
    private readonly options: Pick<FollowStoreOptions, 'clock' | 'logger'>,
  ) {}

  noteFailure(message: string): void {
    const {clock, logger} = this.options;
    this.failures += 1;
    if (this.lostAt === undefined) {
      this.lostAt = clock.now();
      logger.warn('store_lost', {topic: this.topic, cause: message});
    }
  }

  noteAnswer(): void {
    if (this.lostAt === undefined) {
      return;
    }
    const {clock, logger} = this.options;
    logger.info('store_regained', {
      topic: this.topic,
      failures: this.failures,
      milliseconds: Math.round(clock.now() - this.lostAt),
    });
    this.lostAt = undefined;
    this.failures = 0;
  }
}

function followConfiguration(options: FollowStoreOptions): TopicOptions {
  const {guard, bounds, endpoints} = options;
  const take = (records: readonly KeyedRecord[]) =>
    records.forEach(record => applyConfiguration(record, options));
  return {
    longPollMilliseconds: Math.min(
      bounds.configurationMilliseconds * CONFIGURATION_POLL_SHARE,
      bounds.revocationMilliseconds * REVOCATION_POLL_SHARE,
    ),
    gather: () => Promise.resolve(),
    onSnapshot: take,
    onRecords: take,
    onRead: () => {
      const sentAt = guard.readTime();
      return waitedMilliseconds => {
        guard.confirm(Math.min(guard.readTime(), sentAt + waitedMilliseconds));
        // Endpoints may be read seldom; this read shows no less that the
        // store was there.
        endpoints.recordStoreResponse();
      };
    },
  };
}

/** Puts a configuration in force; an older one never replaces a newer one. */
function applyConfiguration(
  {key, value}: KeyedRecord,
  {known, logger, onConfiguration}: FollowStoreOptions,
): void {
  if (key !== CONFIGURATION_KEY || value === undefined) {
    return;
  }
  const configuration = decodeRouting(value);
  if (configuration === undefined) {
    logger.warn('configuration_broken', {bytes: value.length});
    return;
  }
  const before = known.configuration?.version ?? Number.NEGATIVE_INFINITY;
  if (configuration.version <= before) {
    return;
  }
  known.configuration = configuration;
  logger.info('configuration', {
    version: configuration.version,
    routes: configuration.routes.length,
  });
  onConfiguration(configuration);
}

function followEndpoints(options: FollowStoreOptions): TopicOptions {
  const {endpoints, known} = options;
  return {
    longPollMilliseconds: ENDPOINTS_POLL_MILLISECONDS,
    gather: signal => gatherEndpoints(options, signal),
    onSnapshot: records => {
      endpoints.recordStoreResponse();
      const entries = records.map(record => decode(record, options));
      endpoints.replaceAll(entries.filter(entry => entry !== undefined));
      known.hasEndpoints = true;
      options.onEndpointsRead();
    },
    onRecords: records => {
      endpoints.recordStoreResponse();
      records.forEach(record => applyEndpoint(record, options));
      endpoints.evictExpired();
      options.onEndpointsRead();
    },
    onRead: () => () => undefined,
  };
}

function applyEndpoint(record: KeyedRecord, options: FollowStoreOptions): void {
  const entry =
    record.value === undefined ? undefined : decode(record, options);
  if (entry === undefined) {
    options.endpoints.remove(record.key);
  } else {
    options.endpoints.put(entry);
  }
}

function decode(
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
  const take = (records: readonly KeyedRecord[]) => {
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
    longPollMilliseconds: GATEWAYS_POLL_MILLISECONDS,
    gather: signal => options.clock.sleep(GATEWAYS_GATHER_MILLISECONDS, signal),
    onSnapshot: records => {
      peers.clear();
      take(records);
    },
    onRecords: take,
    onRead: () => () => undefined,
  };
}

/** Encodes where a gateway takes news. */
export function encodeGateway({host, port}: GatewayPeer): Buffer {
  return Buffer.from(JSON.stringify({host, port}));
}

function decodeGateway({key, value}: KeyedRecord): GatewayPeer | undefined {
  const record = value === undefined ? undefined : parseJson(value);
  return validateGatewayRegistration(record)
    ? {gateway: key, host: record.host, port: record.port}
    : undefined;
}
