/**
 * Starts the servers that the platform uses to monitor a gateway.
 */
import type http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {Shutdown} from '@briarpin/forwarding';
import type {InstanceSettings} from '@briarpin/machines';

import type {Telemetry} from './create_telemetry.js';
import type {MachineState} from './machine_state.js';
import {serveMetrics} from './serve_metrics.js';
import {serveReadiness} from './serve_readiness.js';

/**
 * Age of the configuration at which the gateway reports that it is not ready,
 * so that other gateways are preferred, as a fraction of the revocation bound.
 */
const READY_AGE_SHARE = 0.6;

/** Bound ports. */
export interface ServerPorts {
  readonly readiness: number;
  readonly metrics: number;
}

/** Listening servers. */
export interface RunningServers {
  readonly ports: ServerPorts;
  /** Stops listening and closes all connections. */
  readonly close: () => void;
}

/**
 * Starts the readiness and metrics servers.
 *
 * The metrics port is the internal port plus 1; any free port without an
 * internal port.
 *
 * @param settings - Settings of the instance
 * @param state - State that determines readiness
 * @param telemetry - Provides the metrics
 * @param shutdown - A gateway that shuts down is not ready
 * @returns The listening servers; rejects when an address cannot be bound
 */
export async function startServers(
  settings: InstanceSettings,
  state: Pick<MachineState, 'storeState' | 'stalenessTracker'>,
  {metrics}: Pick<Telemetry, 'metrics'>,
  shutdown: Pick<Shutdown, 'hasBegun'>,
): Promise<RunningServers> {
  const {storeState, stalenessTracker} = state;
  const isReady = () =>
    !shutdown.hasBegun &&
    storeState.hasEndpoints &&
    storeState.configuration !== undefined &&
    stalenessTracker.ageMilliseconds() <
      settings.bounds.revocationMilliseconds * READY_AGE_SHARE;
  const readiness = await serveReadiness(settings.readinessAddress, isReady);
  const metricsPort =
    settings.internalPort === undefined ? 0 : settings.internalPort + 1;
  const metricsServer = await serveMetrics(
    {host: settings.ip, port: metricsPort},
    metrics,
  );
  const servers = [readiness, metricsServer];
  return {
    ports: {readiness: getPort(readiness), metrics: getPort(metricsServer)},
    close: () => {
      servers.forEach(server => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}

function getPort(server: http.Server): number {
  return (server.address() as AddressInfo).port;
}
