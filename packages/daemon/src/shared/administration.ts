/**
 * What every process answers to the operator's command.
 */
import {
  AdministrationService,
  type AdministrationServer,
  type StatusReply,
} from '@briarpin/messages';
import type {Server} from '@grpc/grpc-js';

import type {HistogramRegistry} from '@briarpin/telemetry';

/** What the service shows and does. */
export interface AdministrationTarget {
  readonly histograms: HistogramRegistry;
  readonly status: () => StatusReply;
  /** Starts a graceful shutdown. */
  readonly drain: (reason: string) => void;
}

/**
 * Adds the service to a server.
 *
 * @param server - Server of this process
 * @param target - The process
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
