/**
 * Filter of the endpoints that a request, or the memory of its run, may reach.
 */
import type {
  EndpointEntry,
  EndpointRegistry,
  RoutingConfiguration,
  StreamOrigin,
} from '@briarpin/coordination';

import type {ColdEndpoints} from '../cold_endpoints/cold_endpoints.js';
import type {EndpointDoubts} from '../endpoint_doubts/endpoint_doubts.js';
import type {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import type {Exchange} from '../exchange/exchange.js';
import {resolveAllowedRegions} from '../resolve_allowed_regions/resolve_allowed_regions.js';
import type {StoppedRun} from '../stopped_run/stopped_run.js';

declare const ELIGIBLE: unique symbol;

/** Endpoint that the filter has passed for one request; holds only now. */
export type EligibleEndpoint = EndpointEntry & {readonly [ELIGIBLE]: true};

/**
 * Endpoints that the filter has passed for one request. Functions that choose an
 * endpoint take only this type, so that an unfiltered list does not compile.
 */
export type EligibleEndpoints = readonly EligibleEndpoint[];

/** The properties of a request that decide on its endpoints. */
export type EligibilityRequest = Pick<
  Exchange,
  'service' | 'origin' | 'route' | 'organisation'
>;

/** Options of {@link EndpointEligibility}. */
export interface EndpointEligibilityOptions {
  readonly endpoints: Pick<EndpointRegistry, 'findReady' | 'hasOtherSoftware'>;
  /** Tells whether the software of an endpoint is known. */
  readonly doubts: Pick<EndpointDoubts, 'isInDoubt'>;
  readonly limits: Pick<
    EndpointLimits,
    | 'hasCapacity'
    | 'isLimited'
    | 'computeWaitMilliseconds'
    | 'computePauseMilliseconds'
  >;
  /** Returns the configuration in force; undefined before the first one. */
  readonly configuration: () => RoutingConfiguration | undefined;
  /** Availability zones whose endpoints receive no requests. */
  readonly evacuatedZones: Pick<ReadonlySet<string>, 'has'>;
  readonly coldEndpoints: Pick<
    ColdEndpoints,
    'hasCapacity' | 'isCold' | 'computeWaitMilliseconds'
  >;
  /** Region of an availability zone; undefined if it is not known. */
  readonly regionOf: (availabilityZone: string) => string | undefined;
}

/**
 * Decides which endpoints a request may use, by the configuration and the
 * evacuated zones at the moment of the call. The results must not be kept while
 * the caller waits for something.
 */
export class EndpointEligibility {
  /**
   * @param options - Endpoints and all that restricts their use
   */
  constructor(private readonly options: EndpointEligibilityOptions) {}

  /** The configuration in force; undefined before the first one. */
  get configuration(): RoutingConfiguration | undefined {
    return this.options.configuration();
  }

  /**
   * Finds the ready endpoints at which a request may run: those in its allowed
   * regions, in no evacuated zone and, once its stream has begun, known to be of the
   * software version at which it began.
   */
  find(request: EligibilityRequest): EligibleEndpoints {
    const {origin, service} = request;
    const {doubts} = this.options;
    const isPermitted = this.createFilter(request);
    return this.options.endpoints
      .findReady(service.name)
      .filter(
        (entry): entry is EligibleEndpoint =>
          isPermitted(entry) &&
          (origin === undefined ||
            (isAtOrigin(entry, origin) && !doubts.isInDoubt(entry))),
      );
  }

  /** Finds the eligible endpoints that are at none of their limits. */
  findAccepting(request: EligibilityRequest): EligibleEndpoints {
    const {limits, coldEndpoints} = this.options;
    return this.find(request).filter(
      entry => limits.hasCapacity(entry.id) && coldEndpoints.hasCapacity(entry),
    );
  }

  /**
   * Returns whether the requests sent to an endpoint are counted against a rate, so
   * that it may accept no more once the next one has been sent.
   */
  isRateLimited(entry: EndpointEntry): boolean {
    const {limits, coldEndpoints} = this.options;
    return limits.isLimited(entry.id) || coldEndpoints.isCold(entry);
  }

  /**
   * Returns whether an endpoint is in an allowed region and in no evacuated zone.
   */
  permits(request: EligibilityRequest, entry: EndpointEntry): boolean {
    return this.createFilter(request)(entry);
  }

  /**
   * Lists the engines at which a stopped run may continue: the target before the
   * source, but those that want no requests last. A stopped run is a new request
   * to its source too, so that no engine in an evacuated zone is listed.
   *
   * @param request - Request of the run
   * @param source - Engine that ran it
   * @param moved - How it was stopped
   * @returns The engines, in the order in which they should be tried
   */
  listMemoryHolders(
    request: EligibilityRequest,
    source: EndpointEntry,
    moved: StoppedRun,
  ): EligibleEndpoints {
    const {endpoints, limits} = this.options;
    const isPermitted = this.createFilter(request);
    const targets =
      moved.kind === 'stopped_at_source' ||
      endpoints.hasOtherSoftware(moved.target)
        ? []
        : [moved.target];
    const isAtSource =
      moved.kind === 'stopped' || moved.kind === 'stopped_at_source';
    const holders = isAtSource ? [...targets, source] : targets;
    const getPause = ({id}: EndpointEntry) =>
      limits.computePauseMilliseconds(id);
    return holders
      .filter((entry): entry is EligibleEndpoint => isPermitted(entry))
      .sort((left, right) => getPause(left) - getPause(right));
  }

  /**
   * Computes when an eligible endpoint accepts a request.
   *
   * @returns Milliseconds; 0 if one accepts it now or none is eligible
   */
  computeWaitMilliseconds(request: EligibilityRequest): number {
    const {limits, coldEndpoints} = this.options;
    const waits = this.find(request).map(entry =>
      Math.max(
        limits.computeWaitMilliseconds(entry.id),
        coldEndpoints.computeWaitMilliseconds(entry),
      ),
    );
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /**
   * Returns whether the service of a request has ready endpoints, but none in the
   * allowed regions outside evacuated zones.
   */
  isRestrictedFromAll(request: EligibilityRequest): boolean {
    const {endpoints} = this.options;
    const ready = endpoints.findReady(request.service.name);
    return ready.length > 0 && !ready.some(this.createFilter(request));
  }

  /**
   * Lists the regions in which a request may run now, in a fixed order; undefined if
   * all may be used.
   */
  listAllowedRegions(
    request: EligibilityRequest,
  ): readonly string[] | undefined {
    const {configuration} = this.options;
    const regions = resolveAllowedRegions(request, configuration());
    return regions && [...regions].sort();
  }

  private createFilter(
    request: EligibilityRequest,
  ): (entry: EndpointEntry) => boolean {
    const {evacuatedZones} = this.options;
    const isAllowed = this.createRegionFilter(request);
    return entry =>
      isAllowed(entry) && !evacuatedZones.has(entry.availabilityZone);
  }

  private createRegionFilter(
    request: EligibilityRequest,
  ): (entry: EndpointEntry) => boolean {
    const {configuration, regionOf} = this.options;
    const regions = resolveAllowedRegions(request, configuration());
    return ({availabilityZone}) => {
      if (regions === undefined) {
        return true;
      }
      const region = regionOf(availabilityZone);
      return region !== undefined && regions.has(region);
    };
  }
}

/** Returns whether an endpoint runs the software at which a stream began. */
function isAtOrigin(entry: EndpointEntry, origin: StreamOrigin): boolean {
  return (
    entry.service === origin.service &&
    entry.softwareVersion === origin.softwareVersion
  );
}
