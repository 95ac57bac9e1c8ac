/**
 * Creates the reports of a gateway and applies those of other gateways.
 */
import type {
  ForwardingGateway,
  ForwardingContext,
  GatewayMesh,
  LocalReport,
  ReceivedReport,
} from '@briarpin/forwarding';

import {
  fromArrivedEndpoint,
  fromDoubtfulEndpoint,
  fromLeavingEndpoint,
  toArrivedEndpoint,
  toDoubtfulEndpoint,
  toLeavingEndpoint,
} from './endpoint_messages.js';
import type {MachineState} from './machine_state.js';
import {
  fromReportedSuspicion,
  selectReportedSuspicions,
} from './share_suspicions.js';

/**
 * Time without a report after which a gateway's reported work counts as ended.
 */
const GATEWAY_TIMEOUT_MILLISECONDS = 2_000;

/** Maximum age in a report; fits into the field of the message. */
const MAXIMUM_REPORTED_AGE_MILLISECONDS = 3_600_000;

/**
 * Creates the report of this gateway.
 *
 * @param gateway - Provides the unfinished work
 * @param components - Provides the limits of endpoints and the work by
 *   organisation
 * @param state - State of the process
 * @param now - Monotonic time, in milliseconds
 */
export function createReport(
  gateway: ForwardingGateway,
  {
    limits,
    organisationWork,
  }: Pick<ForwardingContext, 'limits' | 'organisationWork'>,
  state: MachineState,
  now: number,
): LocalReport {
  return {
    work: gateway.readWork(),
    leaving: state.departures.list().map(toLeavingEndpoint),
    arrived: state.arrivals.list().map(toArrivedEndpoint),
    suspicions: selectReportedSuspicions(state.recentSuspicions.list(), now),
    doubtful: state.recentDoubts
      .list()
      .map(doubt =>
        toDoubtfulEndpoint(doubt, toReportedAge(now - doubt.foundAt)),
      ),
    limits: limits.createReport(),
    organisationWork: organisationWork.createReport(),
    endpointsAgeMilliseconds: toReportedAge(now - state.endpointsReadAt),
    storeAgeMilliseconds: toReportedAge(state.store.unreachableMilliseconds),
    returnMilliseconds: toReportedReturn(gateway.computeReturnMilliseconds()),
    configurationVersion: state.storeState.configuration?.version,
  };
}

/**
 * Removes the work of gateways that have timed out. Must also run while no report
 * arrives: the work that an isolated gateway knows of would count for ever.
 *
 * @param mesh - Evicts the gateways without a recent report
 * @param components - Where their work is counted
 */
export function evictSilentGateways(
  mesh: Pick<GatewayMesh, 'evictSilentGateways'>,
  {
    loads,
    organisationWork,
  }: Pick<ForwardingContext, 'loads' | 'organisationWork'>,
): void {
  mesh
    .evictSilentGateways(GATEWAY_TIMEOUT_MILLISECONDS)
    .forEach(gatewayName => {
      loads.removeGateway(gatewayName);
      organisationWork.removeGateway(gatewayName);
    });
}

/**
 * Applies a report of another gateway and evicts gateways that have timed out.
 *
 * @param report - The received report
 * @param components - Endpoint loads, registry, limits, returns, work by
 *   organisation and waiting requests to update
 * @param mesh - Evicts the gateways without a recent report
 * @param state - Suspicions to update; all are reported to a new process. Reads
 *   the configuration when the report names a newer version
 */
export function applyReport(
  report: ReceivedReport,
  {
    loads,
    endpoints,
    doubts,
    limits,
    gatewayReturns,
    engineQueue,
    organisationWork,
  }: Pick<
    ForwardingContext,
    | 'loads'
    | 'endpoints'
    | 'doubts'
    | 'limits'
    | 'gatewayReturns'
    | 'engineQueue'
    | 'organisationWork'
  >,
  mesh: Pick<GatewayMesh, 'evictSilentGateways'>,
  {
    suspicionTable,
    recentSuspicions,
    configurationFreshness,
  }: Pick<
    MachineState,
    'suspicionTable' | 'recentSuspicions' | 'configurationFreshness'
  >,
): void {
  if (report.configurationVersion !== undefined) {
    configurationFreshness.recordVersion(report.configurationVersion);
  }
  loads.setGatewayWork(report.gateway, report.work);
  limits.applyReport(report.gateway, report.limits);
  gatewayReturns.record(report.gateway, report.returnMilliseconds);
  if (report.isFirst) {
    suspicionTable.list().forEach(record => recentSuspicions.add(record));
  }
  report.suspicions.forEach(suspicion =>
    suspicionTable.apply(fromReportedSuspicion(suspicion)),
  );
  report.arrived
    .map(fromArrivedEndpoint)
    .filter(entry => entry !== undefined)
    .forEach(entry => endpoints.addFromPeer(entry));
  report.leaving.forEach(leaving =>
    endpoints.applyDeparture(fromLeavingEndpoint(leaving)),
  );
  report.doubtful.forEach(doubtful =>
    doubts.applyReport(fromDoubtfulEndpoint(doubtful, report.receivedAt)),
  );
  evictSilentGateways(mesh, {loads, organisationWork});
  organisationWork
    .applyReport(report)
    .forEach(({organisation, tokens}) =>
      engineQueue.charge(organisation, tokens),
    );
  engineQueue.reviewAfterReport();
}

/** Rounds the time until a return, if there is one. */
function toReportedReturn(
  milliseconds: number | undefined,
): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** Rounds an age to whole milliseconds and limits it to the maximum. */
function toReportedAge(milliseconds: number): number {
  return Math.min(MAXIMUM_REPORTED_AGE_MILLISECONDS, Math.round(milliseconds));
}
