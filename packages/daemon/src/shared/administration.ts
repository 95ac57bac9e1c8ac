/**
 * The administration service that the operator's command calls in each process.
 */
import {
  AdministrationService,
  type AdministrationServer,
  type StatusReply,
} from '@briarpin/messages';
import type {Server} from '@grpc/grpc-js';

import type {HistogramRegistry} from '@briarpin/telemetry';

/** Process state and actions that the service exposes. */
export interface AdministrationTarget {
  readonly histograms: HistogramRegistry;
  readonly status: () => StatusReply;
  /** Starts a graceful shutdown. */
  readonly drain: (reason: string) => void;
}

/**
 * Adds the administration service to a server.
 *
 * @param server - Server of this process
 * @param target - State and actions of this process
 */
export function addAdministrationService(
  server: Server,
  target: AdministrationTarget,
): void {
  const implementation: AdministrationServer = {
    drain: (_call, callback) => {
      target.drain('operator');
      callback(null, {running: target.status().running});
    },
    readHistograms: (_call, callback) => {
      callback(null, {histograms: [...target.histograms.summarise()]});
    },
    readStatus: (_call, callback) => {
      callback(null, target.status());
    },
  };
  server.addService(AdministrationService, implementation);
}
