/**
 * What a gateway tells the others, and what it does with what they tell.
 */
import type {
  ForwardingGateway,
  ForwardingContext,
  GatewayMesh,
  LocalReport,
  ReceivedReport,
} from '@briarpin/forwarding';

import {
  fromArrived,
  fromLeaving,
  toArrived,
  toLeaving,
} from './endpoint_news.js';
import type {MachineState} from './machine_state.js';

/** Silence after which the work that a gateway told of counts as ended. */
const SILENT_GATEWAY_MILLISECONDS = 2_000;

/** Largest age that gateways tell one another; fits into the message. */
const MAXIMUM_TOLD_AGE_MILLISECONDS = 3_600_000;

/** Gathers what this gateway has to tell. */
export function readNews(
  gateway: ForwardingGateway,
  state: MachineState,
  now: number,
): LocalReport {
  return {
    work: gateway.readWork(),
    leaving: state.departures.list().map(toLeaving),
    arrived: state.arrivals.list().map(toArrived),
    endpointsAgeMilliseconds: toToldAge(now - state.endpointsReadAt),
    storeAgeMilliseconds: toToldAge(state.guard.ageMilliseconds()),
  };
}

/** Takes what another gateway told, and drops those that have fallen silent. */
export function takeNews(
  news: ReceivedReport,
  {loads, endpoints}: Pick<ForwardingContext, 'loads' | 'endpoints'>,
  mesh: Pick<GatewayMesh, 'forgetSilent'>,
): void {
  loads.setGatewayWork(news.gateway, news.work);
  news.arrived.forEach(arrived => endpoints.addFromPeer(fromArrived(arrived)));
  news.leaving.forEach(leaving =>
    endpoints.markDrainingFromPeer(fromLeaving(leaving)),
  );
  mesh
    .forgetSilent(SILENT_GATEWAY_MILLISECONDS)
    .forEach(silent => loads.removeGateway(silent));
}

/** An age as it is told: whole, and not larger than the message can hold. */
function toToldAge(milliseconds: number): number {
  return Math.min(MAXIMUM_TOLD_AGE_MILLISECONDS, Math.round(milliseconds));
}
