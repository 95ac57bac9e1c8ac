/**
 * Transfer of the configuration between peers, for when the log cannot be read.
 */
import type {
  Clock,
  ConfigurationReplica,
  MembershipView,
} from '@briarpin/coordination';
import {
  ConfigurationPeerClient,
  ConfigurationPeerService,
  type ConfigurationPeerServer,
  type ConfigurationUpdate,
} from '@briarpin/messages';
import {Metadata, type ChannelCredentials, type Server} from '@grpc/grpc-js';

import {CHANNEL_OPTIONS} from './transport_credentials.js';

const PULL_TIMEOUT_MILLISECONDS = 1_000;
const PULL_INTERVAL_MILLISECONDS = 200;

/**
 * Adds the service that sends the configuration to peers.
 *
 * @param server - Server of this process
 * @param replica - Configuration of this process
 */
export function addConfigurationPeerService(
  server: Server,
  replica: ConfigurationReplica,
): void {
  const emptyUpdate: ConfigurationUpdate = {
    version: 0,
    baseVersion: 0,
    entries: [],
  };
  const implementation: ConfigurationPeerServer = {
    pull: (call, callback) => {
      callback(
        null,
        replica.findUpdateSince(call.request.version) ?? emptyUpdate,
      );
    },
  };
  server.addService(ConfigurationPeerService, implementation);
}

/** Options of {@link pullUntilReady}. */
export interface PullUntilReadyOptions {
  readonly instance: string;
  readonly replica: ConfigurationReplica;
  readonly membership: MembershipView;
  readonly credentials: ChannelCredentials;
  readonly clock: Clock;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/**
 * Pulls the configuration from random peers until this process has one.
 *
 * @param options - This process, its replica and the membership list
 */
export async function pullUntilReady(
  options: PullUntilReadyOptions,
): Promise<void> {
  const {replica, membership, clock, random, signal} = options;
  while (!signal.aborted && !replica.isReady) {
    await clock.sleep(PULL_INTERVAL_MILLISECONDS, signal);
    const peers = membership.all.filter(
      member => member.instance !== options.instance,
    );
    const peer = peers[Math.floor(random() * peers.length)];
    if (peer === undefined || replica.isReady || signal.aborted) {
      continue;
    }
    const update = await pullFrom(peer.address, options.credentials);
    if (update !== undefined && update.version > 0) {
      replica.applyUpdate(update);
    }
  }
}

function pullFrom(
  address: string,
  credentials: ChannelCredentials,
): Promise<ConfigurationUpdate | undefined> {
  const client = new ConfigurationPeerClient(
    address,
    credentials,
    CHANNEL_OPTIONS,
  );
  const deadline = Date.now() + PULL_TIMEOUT_MILLISECONDS;
  return new Promise(resolve => {
    client.pull({version: 0}, new Metadata(), {deadline}, (error, update) => {
      client.close();
      resolve(error === null ? update : undefined);
    });
  });
}
