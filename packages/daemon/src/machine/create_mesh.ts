/**
 * Constructs the exchange of reports and messages with the other gateways.
 */
import {
  GatewayMesh,
  type ForwardingContext,
  type ForwardingGateway,
} from '@briarpin/forwarding';
import type {InstanceSettings} from '@briarpin/machines';
import {runTask} from '@briarpin/telemetry';

import {
  applyReport,
  createReport,
  evictSilentGateways,
} from './exchange_reports.js';
import type {MachineState} from './machine_state.js';

/**
 * Creates the exchange with the other gateways.
 *
 * @param settings - Name and address of the instance
 * @param components - Components that reports concern
 * @param gateway - Provides the own work
 * @param state - State of the process, which reports contain and change
 */
export function createMesh(
  settings: InstanceSettings,
  components: ForwardingContext,
  gateway: ForwardingGateway,
  state: MachineState,
): GatewayMesh {
  const {clock, logger} = components;
  const mesh: GatewayMesh = new GatewayMesh({
    gateway: settings.instance,
    host: settings.ip,
    port: settings.internalPort ?? 0,
    clock,
    logger,
    startedAt: Date.now(),
    createReport: () => {
      evictSilentGateways(mesh, components);
      return createReport(gateway, components, state, clock.now());
    },
    onReport: report => {
      applyReport(report, components, mesh, state);
      if (report.isFirst) {
        runTask('stream_origins', logger, () =>
          components.streamOrigins.informNewGateway(report.gateway),
        );
      }
    },
    messageHandlers: {
      streamOrigins: (message, reply) =>
        components.streamOrigins.receive(message, reply),
      freshness: (message, reply) =>
        state.configurationFreshness.receive(message, reply),
    },
  });
  return mesh;
}
