/**
 * Converts endpoint entries to and from the reports among gateways.
 */
import type {EndpointDeparture, EndpointEntry} from '@briarpin/coordination';
import type {EndpointDoubt} from '@briarpin/forwarding';
import type {
  ArrivedEndpoint,
  DoubtfulEndpoint,
  LeavingEndpoint,
} from '@briarpin/messages';
import {isUsableAddress} from '@briarpin/settings';

/** Value in a report for the start time of an endpoint that has none. */
const UNKNOWN_START_TIME = 0;

/** Value in a report of a gateway that reads no software versions. */
const UNKNOWN_SOFTWARE_VERSION = '';

/** Converts the departure of an endpoint. A missing sequence number becomes 0. */
export function toLeavingEndpoint({
  id,
  startedAt = UNKNOWN_START_TIME,
  hasNotice,
  sequence = 0,
}: EndpointDeparture): LeavingEndpoint {
  return {endpoint: id, startedAt, hasNotice, sequence};
}

/** Restores the departure of an endpoint. */
export function fromLeavingEndpoint(
  leaving: LeavingEndpoint,
): EndpointDeparture {
  const {endpoint: id, startedAt, hasNotice, sequence} = leaving;
  return {id, startedAt: fromStartTime(startedAt), hasNotice, sequence};
}

function fromStartTime(startedAt: number): number | undefined {
  return startedAt === UNKNOWN_START_TIME ? undefined : startedAt;
}

/**
 * Converts a doubt about an endpoint. A missing sequence number becomes 0.
 *
 * @param doubt - The doubt
 * @param ageMilliseconds - Time since it was found, a whole number
 */
export function toDoubtfulEndpoint(
  {
    id,
    startedAt = UNKNOWN_START_TIME,
    softwareVersion,
    sequence = 0,
  }: EndpointDoubt,
  ageMilliseconds: number,
): DoubtfulEndpoint {
  return {endpoint: id, startedAt, softwareVersion, sequence, ageMilliseconds};
}

/**
 * Restores a doubt about an endpoint.
 *
 * @param doubtful - The message
 * @param receivedAt - Time when it was received, on the monotonic clock
 */
export function fromDoubtfulEndpoint(
  doubtful: DoubtfulEndpoint,
  receivedAt: number,
): EndpointDoubt {
  const {endpoint: id, startedAt, ageMilliseconds, ...doubt} = doubtful;
  const foundAt = receivedAt - ageMilliseconds;
  return {...doubt, id, startedAt: fromStartTime(startedAt), foundAt};
}

/**
 * Converts the entry of an endpoint that accepts work. The warm-up time is
 * rounded to whole milliseconds, and a missing sequence number becomes 0.
 */
export function toArrivedEndpoint(entry: EndpointEntry): ArrivedEndpoint {
  return {
    endpoint: entry.id,
    startedAt: entry.startedAt ?? UNKNOWN_START_TIME,
    service: entry.service,
    host: entry.host,
    port: entry.port,
    availabilityZone: entry.availabilityZone,
    slots: entry.slots,
    coldMilliseconds: Math.round(entry.coldMilliseconds),
    sequence: entry.sequence ?? 0,
    softwareVersion: entry.softwareVersion,
  };
}

/**
 * Restores the entry of an endpoint that accepts work.
 *
 * @returns The entry; undefined if it names no software version, or no address
 *     that can be connected to
 */
export function fromArrivedEndpoint(
  arrived: ArrivedEndpoint,
): EndpointEntry | undefined {
  const {service, host, port, availabilityZone, slots, softwareVersion} =
    arrived;
  if (
    softwareVersion === UNKNOWN_SOFTWARE_VERSION ||
    !isUsableAddress(arrived)
  ) {
    return undefined;
  }
  return {
    id: arrived.endpoint,
    startedAt: fromStartTime(arrived.startedAt),
    service,
    host,
    port,
    availabilityZone,
    state: 'ready',
    slots,
    coldMilliseconds: arrived.coldMilliseconds,
    sequence: arrived.sequence,
    softwareVersion,
  };
}
