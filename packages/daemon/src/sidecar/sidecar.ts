/**
 * The sidecar role: runs the requests of one endpoint on the same instance.
 */
import {ClaimLog} from '@briarpin/coordination';
import {SidecarService, type StatusReply} from '@briarpin/messages';
import type {SidecarSettings} from '@briarpin/settings';

import {runTask} from '@briarpin/telemetry';
import {EngineClient} from '../engine/engine_client.js';
import {addAdministrationService} from '../shared/administration.js';
import {addConfigurationPeerService} from '../shared/configuration_peer.js';
import type {ProcessContext} from '../shared/process_context.js';
import type {RunningRole} from '../shared/running_role.js';
import {
  bindGrpcServer,
  closeGrpcServer,
  createGrpcServer,
} from '../shared/serve_grpc.js';
import {ExchangeService} from './exchange_service.js';
import {ModelRunner} from './model_runner.js';
import {ModelReconciler} from './model_reconciler.js';
import {ServiceRunner} from './service_runner.js';
import {createSidecarService, type Runners} from './sidecar_service.js';

const DRAIN_POLL_MILLISECONDS = 20;
const DEFAULT_MAXIMUM_WAITING = 10_000;
const DEFAULT_BUFFERED_TOKENS = 1_024;
const DEFAULT_RESUME_GRACE_MILLISECONDS = 5_000;
const DEFAULT_LOAD_REPORT_MILLISECONDS = 1_000;
const DEFAULT_CLAIM_BATCH_MILLISECONDS = 5;
const DEFAULT_CLAIM_WINDOW_MILLISECONDS = 600_000;
/** Limit of log appends per second, shared by all sidecars of one service. */
const CLAIM_APPENDS_PER_SECOND = 300;
const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_LONG_POLL_MILLISECONDS = 1_000;

/**
 * Starts a sidecar.
 *
 * @param settings - Settings of the sidecar
 * @param context - Dependencies shared by both roles
 * @returns The running role
 * @throws Error when the internal address cannot be bound
 */
export async function startSidecar(
  settings: SidecarSettings,
  context: ProcessContext,
): Promise<RunningRole> {
  const reportMilliseconds =
    settings.loadReportMilliseconds ?? DEFAULT_LOAD_REPORT_MILLISECONDS;
  const runners = createRunners(settings, context, reportMilliseconds);
  const {model, service} = runners;
  const createReport = () =>
    (model ?? (service as ServiceRunner)).createLoadReport();
  const exchange = new ExchangeService(context, createReport);
  let isDraining = false;

  const startDraining = (reason: string) => {
    if (!isDraining) {
      isDraining = true;
      context.logger.info('leaving', {reason});
      model?.startDraining();
      service?.startDraining();
      exchange.broadcast();
    }
  };
  const status = (): StatusReply => ({
    instance: settings.instance,
    role: 'sidecar',
    configurationVersion: context.replica.table.version,
    ready: context.replica.isReady && !isDraining,
    leaving: isDraining,
    running: (model ?? service)?.runningCount ?? 0,
    waiting: model?.waitingCount ?? 0,
  });

  const server = createGrpcServer();
  server.addService(
    SidecarService,
    createSidecarService(context, runners, exchange),
  );
  addConfigurationPeerService(server, context.replica);
  const role: RunningRole = {
    ports: {internal: 0},
    status,
    startDraining,
    onConfiguration: () => exchange.broadcast(),
    drainAndClose: async () => {
      const openCount = () => model?.openCount ?? service?.runningCount ?? 0;
      const {clock, gracePeriod} = context;
      const mustStopWaiting = () =>
        model === undefined ? gracePeriod.mustClose : gracePeriod.areAnswersDue;
      while (openCount() > 0 && !mustStopWaiting()) {
        await clock.sleep(DRAIN_POLL_MILLISECONDS);
      }
      exchange.close();
      if (openCount() > 0) {
        // Gateways take the streams up again at the next sidecar of the engine.
        context.logger.warn('requests_cut', {open: openCount()});
        server.forceShutdown();
        return;
      }
      await closeGrpcServer(server, gracePeriod, clock);
    },
    requestDrain: () => undefined,
  };
  addAdministrationService(server, {
    histograms: context.histograms,
    status,
    drain: reason => role.requestDrain(reason),
  });
  role.ports.internal = await bindGrpcServer(
    server,
    settings.internalAddress,
    context.serverCredentials,
  );
  runTask('exchange', context.logger, () => exchange.run(reportMilliseconds));
  return role;
}

function createRunners(
  settings: SidecarSettings,
  context: ProcessContext,
  reportMilliseconds: number,
): Runners {
  return settings.endpointKind === 'model'
    ? {model: createModelRunner(settings, context, reportMilliseconds)}
    : {service: createServiceRunner(settings, context)};
}

function createModelRunner(
  settings: SidecarSettings,
  context: ProcessContext,
  reportMilliseconds: number,
): ModelRunner {
  const engine = new EngineClient(settings.endpointUrl);
  const runner = new ModelRunner(context, engine, {
    service: settings.service,
    maximumWaiting: settings.maximumWaiting ?? DEFAULT_MAXIMUM_WAITING,
    bufferedTokensPerStream:
      settings.bufferedTokensPerStream ?? DEFAULT_BUFFERED_TOKENS,
    resumeGraceMilliseconds:
      settings.resumeGraceMilliseconds ?? DEFAULT_RESUME_GRACE_MILLISECONDS,
    loadReportMilliseconds: reportMilliseconds,
  });
  const reconciler = new ModelReconciler(
    context,
    settings.service,
    engine,
    runner,
  );
  runTask('model_runner', context.logger, () => runner.run());
  runTask('order_keeper', context.logger, () => reconciler.run());
  return runner;
}

function createServiceRunner(
  settings: SidecarSettings,
  context: ProcessContext,
): ServiceRunner {
  const {log, clock, random, signal} = context;
  const claims = new ClaimLog({
    log,
    clock,
    random,
    longPollMilliseconds:
      settings.logLongPollMilliseconds ?? DEFAULT_LONG_POLL_MILLISECONDS,
    batchMilliseconds: () => {
      const writers = context.membership.listLive(settings.service).length;
      const fairShare =
        (MILLISECONDS_PER_SECOND * writers) / CLAIM_APPENDS_PER_SECOND;
      return Math.max(
        settings.claimBatchMilliseconds ?? DEFAULT_CLAIM_BATCH_MILLISECONDS,
        fairShare,
      );
    },
    windowMilliseconds:
      settings.claimWindowMilliseconds ?? DEFAULT_CLAIM_WINDOW_MILLISECONDS,
  });
  runTask('claim_log', context.logger, () => claims.run(signal));
  return new ServiceRunner(context, claims, {
    service: settings.service,
    serviceUrl: settings.endpointUrl,
  });
}
