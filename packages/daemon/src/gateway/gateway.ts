/**
 * Gateway role, which serves the HTTP requests of callers.
 */
import http from 'node:http';
import type {AddressInfo} from 'node:net';

import {BUILT_IN_POLICY} from '@briarpin/coordination';
import type {StatusReply} from '@briarpin/messages';
import {ByteBudget, RetryBudget} from '@briarpin/scheduling';
import {splitAddress, type GatewaySettings} from '@briarpin/settings';

import {runTask} from '@briarpin/telemetry';
import {addAdministrationService} from '../shared/administration.js';
import {addConfigurationPeerService} from '../shared/configuration_peer.js';
import type {ProcessContext} from '../shared/process_context.js';
import type {RunningRole} from '../shared/running_role.js';
import {
  bindGrpcServer,
  closeGrpcServer,
  createGrpcServer,
} from '../shared/serve_grpc.js';
import {AccessDirectory} from './access_directory.js';
import {EndpointDirectory} from './endpoint_directory.js';
import type {GatewayDependencies} from './gateway_dependencies.js';
import {
  createRequestListener,
  type RequestListenerOptions,
} from './handle_request.js';
import {OpenResponses} from './open_responses.js';
import {PartialHeads} from './partial_heads.js';
import {PrefixHints} from './prefix_hints.js';

const DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;
const DEFAULT_MAXIMUM_OPEN_REQUESTS = 4_096;
const DEFAULT_REQUEST_HEAD_TIMEOUT_MILLISECONDS = 10_000;
const DEFAULT_ENDPOINTS_PER_SERVICE = 8;
const MAXIMUM_HEADER_BYTES = 16_384;
const BROADCAST_INTERVAL_MILLISECONDS = 4_000;
const DRAIN_POLL_MILLISECONDS = 20;
/** Time for which a draining gateway waits for the rest of a request's head. */
const PARTIAL_HEAD_WAIT_MILLISECONDS = 1_000;

/**
 * Starts a gateway.
 *
 * @param settings - Settings of the gateway
 * @param context - Objects that both roles share
 * @returns The running role; its `ports` are bound
 * @throws Error when an address cannot be bound
 */
export async function startGateway(
  settings: GatewaySettings,
  context: ProcessContext,
): Promise<RunningRole> {
  const dependencies = createDependencies(settings, context);
  const {endpointDirectory, accessDirectory} = dependencies;
  const state = {
    isDraining: false,
    openRequests: 0,
    responses: new OpenResponses(),
  };
  const status = (): StatusReply => ({
    instance: settings.instance,
    role: 'gateway',
    configurationVersion: context.replica.table.version,
    ready: context.replica.isReady && !state.isDraining,
    leaving: state.isDraining,
    running: state.openRequests,
    waiting: 0,
  });
  const callerServer = createCallerServer(
    settings,
    dependencies,
    state,
    status,
  );
  const partialHeads = new PartialHeads(callerServer);
  const internalServer = createGrpcServer();
  addConfigurationPeerService(internalServer, context.replica);
  const role: RunningRole = {
    ports: {internal: 0, callers: 0},
    status,
    startDraining: reason => {
      if (!state.isDraining) {
        state.isDraining = true;
        state.responses.announceClose();
        context.logger.info('leaving', {reason});
      }
    },
    onConfiguration: () => {
      accessDirectory.update(context.replica.table);
      endpointDirectory.broadcastConfiguration();
    },
    onMembership: () => endpointDirectory.refresh(),
    drainAndClose: async () => {
      callerServer.close();
      const {gracePeriod} = context;
      const headsDueAt = context.clock.now() + PARTIAL_HEAD_WAIT_MILLISECONDS;
      const areHeadsDue = () =>
        context.clock.now() >= headsDueAt || gracePeriod.areAnswersDue;
      while (
        (state.responses.size > 0 || partialHeads.size > 0) &&
        !gracePeriod.mustClose
      ) {
        callerServer.closeIdleConnections();
        await context.clock.sleep(DRAIN_POLL_MILLISECONDS);
        if (areHeadsDue()) {
          partialHeads.refuseAll();
        }
      }
      if (state.responses.size > 0) {
        const {size} = state.responses;
        context.logger.warn('requests_cut', {open: size});
      }
      callerServer.closeAllConnections();
      endpointDirectory.close();
      await closeGrpcServer(internalServer, gracePeriod, context.clock);
    },
    requestDrain: () => undefined,
  };
  addAdministrationService(internalServer, {
    histograms: context.histograms,
    status,
    drain: reason => role.requestDrain(reason),
  });
  role.ports.internal = await bindGrpcServer(
    internalServer,
    settings.internalAddress,
    context.serverCredentials,
  );
  role.ports.callers = await listen(callerServer, settings.listenAddress);
  runTask('directory', context.logger, () =>
    endpointDirectory.run(BROADCAST_INTERVAL_MILLISECONDS),
  );
  return role;
}

function createDependencies(
  settings: GatewaySettings,
  context: ProcessContext,
): GatewayDependencies {
  const {retryBudgetRatio, crossRegionBytesPerSecond} = BUILT_IN_POLICY;
  return {
    context,
    accessDirectory: new AccessDirectory(),
    endpointDirectory: new EndpointDirectory(
      context,
      settings.endpointsPerService ?? DEFAULT_ENDPOINTS_PER_SERVICE,
    ),
    limits: {
      retryBudget: new RetryBudget(retryBudgetRatio),
      crossRegionBudget: new ByteBudget(
        crossRegionBytesPerSecond,
        context.clock.now(),
      ),
    },
    prefixHints: new PrefixHints(),
    maximumBodyBytes: settings.maximumBodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES,
  };
}

function createCallerServer(
  settings: GatewaySettings,
  dependencies: GatewayDependencies,
  state: RequestListenerOptions['state'],
  status: () => StatusReply,
): http.Server {
  const timeout =
    settings.requestHeadTimeoutMilliseconds ??
    DEFAULT_REQUEST_HEAD_TIMEOUT_MILLISECONDS;
  const listener = createRequestListener(dependencies, {
    state,
    status,
    maximumOpenRequests:
      settings.maximumOpenRequests ?? DEFAULT_MAXIMUM_OPEN_REQUESTS,
  });
  return http.createServer(
    {
      headersTimeout: timeout,
      requestTimeout: timeout,
      connectionsCheckingInterval: Math.min(1_000, timeout),
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    },
    listener,
  );
}

function listen(server: http.Server, address: string): Promise<number> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
