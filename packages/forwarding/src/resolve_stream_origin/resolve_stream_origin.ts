/**
 * Finds out where the stream began that a caller takes up.
 */
import {
  UNKNOWN_SOFTWARE_VERSION,
  type RoutedService,
  type StreamOrigin,
} from '@briarpin/coordination';

import type {Admission} from '../admit_request/admit_request.js';
import {computeTakeUpTime} from '../compute_take_up_time/compute_take_up_time.js';
import type {RequestMetadata} from '../dialect/dialect.js';
import type {ErrorResponse} from '../error_response/error_response.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * `Retry-After` of a stream of unknown origin: the gateways that know it may be
 * out of reach for a moment.
 */
const UNKNOWN_ORIGIN_RETRY_MILLISECONDS = 500;

/**
 * Longest wait for a read of the endpoints: the endpoints write to the store many
 * times a second, and each write ends a read that waits.
 */
const READ_TIMEOUT_MILLISECONDS = 1_000;

/** An admitted request, with the origin of its stream if it takes one up. */
export type OriginResolution =
  | {
      readonly kind: 'resolved';
      readonly service: RoutedService;
      /** Absent when the request starts a stream. */
      readonly origin?: StreamOrigin;
    }
  /** The stream cannot be taken up here. */
  | {readonly kind: 'rejected'; readonly errorResponse: ErrorResponse};

/** What {@link resolveStreamOrigin} needs of a gateway. */
type OriginContext = Pick<
  ForwardingContext,
  'endpoints' | 'endpointsRead' | 'streamOrigins'
> & {
  /** Finds a service of the configuration in force. */
  readonly findService: (name: string) => RoutedService | undefined;
};

/**
 * Finds the service and the software version at which a request may run. A
 * stream that a caller takes up continues only where it began; where that is not
 * known, it is rejected.
 *
 * @param metadata - What the request states about itself
 * @param admission - Route and service of the request
 * @param context - What this gateway knows of endpoints and streams
 * @returns The service and the origin, or the error response
 */
export async function resolveStreamOrigin(
  metadata: RequestMetadata,
  {route, service}: Admission & {kind: 'admitted'},
  context: OriginContext,
): Promise<OriginResolution> {
  const {streamOrigins, findService} = context;
  const {resumedRequestId, lastEventId} = metadata;
  if (
    !route.isStream ||
    (resumedRequestId === undefined && lastEventId === undefined)
  ) {
    return {kind: 'resolved', service};
  }
  if (resumedRequestId === undefined) {
    const softwareVersion =
      route.services.length > 1
        ? undefined
        : await findOnlyOrigin(
            service.name,
            computeTakeUpTime(route, metadata),
            context,
          );
    if (softwareVersion === undefined) {
      return reject('it is not named which stream is taken up');
    }
    const origin = {service: service.name, softwareVersion};
    return {kind: 'resolved', service, origin};
  }
  const origin = await streamOrigins.find(resumedRequestId);
  if (
    origin === undefined ||
    origin.softwareVersion === UNKNOWN_SOFTWARE_VERSION
  ) {
    return reject('it is not known where the stream began');
  }
  const isRouted = route.services.some(
    candidate => candidate.service === origin.service,
  );
  const originService = isRouted ? findService(origin.service) : undefined;
  return originService === undefined
    ? reject('the route no longer leads to where the stream began')
    : {kind: 'resolved', service: originService, origin};
}

/**
 * Finds the only software version at which a stream of a service can have begun.
 * Its endpoint may have joined while this gateway was out of step, so that the
 * endpoints must be known as of now.
 */
async function findOnlyOrigin(
  service: string,
  milliseconds: number,
  {endpoints, endpointsRead}: OriginContext,
): Promise<string | undefined> {
  const find = () => endpoints.findOnlySoftwareVersion(service, milliseconds);
  return find() !== undefined &&
    (await endpointsRead.wait(READ_TIMEOUT_MILLISECONDS))
    ? find()
    : undefined;
}

function reject(reason: string): OriginResolution {
  return {
    kind: 'rejected',
    errorResponse: {
      kind: 'not_run',
      reason,
      retryAfterMilliseconds: UNKNOWN_ORIGIN_RETRY_MILLISECONDS,
    },
  };
}
