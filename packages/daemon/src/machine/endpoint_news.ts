/**
 * Endpoints that come and leave, as gateways tell one another.
 */
import type {EndpointEntry, EndpointIncarnation} from '@briarpin/coordination';
import type {ArrivedEndpoint, LeavingEndpoint} from '@briarpin/messages';

/** Stands for a start that the endpoint does not tell. */
const UNKNOWN_START = 0;

/** Tells that a life of an endpoint takes no more work. */
export function toLeaving({
  id,
  startedAt,
}: EndpointIncarnation): LeavingEndpoint {
  return {endpoint: id, startedAt: startedAt ?? UNKNOWN_START};
}

/** Reads which life of an endpoint takes no more work. */
export function fromLeaving(leaving: LeavingEndpoint): EndpointIncarnation {
  const {endpoint: id, startedAt} = leaving;
  return {id, startedAt: startedAt === UNKNOWN_START ? undefined : startedAt};
}

/** Tells of an endpoint that takes work. */
export function toArrived(entry: EndpointEntry): ArrivedEndpoint {
  return {
    ...toLeaving(entry),
    service: entry.service,
    host: entry.host,
    port: entry.port,
    availabilityZone: entry.availabilityZone,
    slots: entry.slots,
    coldMilliseconds: Math.round(entry.coldMilliseconds),
    sequence: entry.sequence ?? 0,
  };
}

/** Reads an endpoint that takes work. */
export function fromArrived(arrived: ArrivedEndpoint): EndpointEntry {
  const {service, host, port, availabilityZone, slots} = arrived;
  return {
    ...fromLeaving(arrived),
    service,
    host,
    port,
    availabilityZone,
    state: 'ready',
    slots,
    coldMilliseconds: arrived.coldMilliseconds,
    sequence: arrived.sequence,
  };
}
