/**
 * The addresses at which the platform asks a gateway about itself.
 */
import type http from 'node:http';
import type {AddressInfo} from 'node:net';

import type {InstanceSettings} from '@briarpin/machines';

import type {Telemetry} from './create_telemetry.js';
import type {MachineState} from './machine_state.js';
import {serveMetrics} from './serve_metrics.js';
import {serveReadiness} from './serve_readiness.js';

/** Age of the configuration at which other gateways should be preferred. */
const READY_AGE_SHARE = 0.6;

/** Ports that were bound. */
export interface ServerPorts {
  readonly readiness: number;
  readonly metrics: number;
}

/** Servers that listen. */
export interface RunningServers {
  readonly ports: ServerPorts;
  readonly close: () => void;
}

/**
 * Starts to serve readiness and metrics.
 *
 * @param settings - Settings of the instance
 * @param state - Decides whether the gateway takes callers
 * @param telemetry - What is rendered
 * @returns The servers, listening
 * @throws Error when an address cannot be bound
 */
export async function startServers(
  settings: InstanceSettings,
  state: Pick<MachineState, 'known' | 'guard' | 'isLeaving'>,
  {metrics}: Pick<Telemetry, 'metrics'>,
): Promise<RunningServers> {
  const {known, guard} = state;
  const isReady = () =>
    !state.isLeaving &&
    known.hasEndpoints &&
    known.configuration !== undefined &&
    guard.ageMilliseconds() <
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
    ports: {readiness: portOf(readiness), metrics: portOf(metricsServer)},
    close: () => {
      servers.forEach(server => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}

function portOf(server: http.Server): number {
  return (server.address() as AddressInfo).port;
}
