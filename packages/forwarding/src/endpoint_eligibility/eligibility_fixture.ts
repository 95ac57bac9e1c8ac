/**
 * Filters of endpoints for the tests of the functions that use them.
 */
import type {
  EndpointEntry,
  RoutedOrganisation,
  RoutedService,
  Route,
  RoutingConfiguration,
} from '@briarpin/coordination';

import type {Exchange} from '../exchange/exchange.js';
import {
  EndpointEligibility,
  type EndpointEligibilityOptions,
} from './endpoint_eligibility.js';

/** Service of all endpoints of the tests. */
export const SERVICE = 'text';

/** Endpoints and restrictions of {@link createEligibility}. */
export interface EligibilityFixture extends Partial<EndpointEligibilityOptions> {
  readonly entries: readonly EndpointEntry[];
}

/** Creates a filter without restrictions other than those that are given. */
export function createEligibility({
  entries,
  ...options
}: EligibilityFixture): EndpointEligibility {
  return new EndpointEligibility({
    endpoints: {
      findReady: service =>
        entries.filter(
          entry => entry.service === service && entry.state === 'ready',
        ),
      hasOtherSoftware: () => false,
    },
    doubts: {isInDoubt: () => false},
    limits: {
      hasCapacity: () => true,
      isLimited: () => false,
      computeWaitMilliseconds: () => 0,
      computePauseMilliseconds: () => 0,
    },
    configuration: () => undefined,
    evacuatedZones: new Set(),
    coldEndpoints: {
      hasCapacity: () => true,
      isCold: () => false,
      computeWaitMilliseconds: () => 0,
    },
    regionOf: zone => zone.split('-')[0],
    ...options,
  });
}

/** Creates the entry of a ready endpoint; its zone is `REGION-NUMBER`. */
export function createEntry(
  id: string,
  availabilityZone: string,
  change: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id,
    service: SERVICE,
    host: id,
    port: 80,
    availabilityZone,
    softwareVersion: 'v1',
    state: 'ready',
    slots: 8,
    coldMilliseconds: 0,
    ...change,
  };
}

/** Regions that a configuration allows; all if absent. */
export interface AllowedRegions {
  readonly route?: readonly string[];
  readonly organisation?: readonly string[];
}

/** Creates a configuration of one route and one organisation. */
export function createConfiguration(
  allowed: AllowedRegions = {},
): RoutingConfiguration {
  const {route, organisation} = createRequest(allowed);
  return {
    version: 1,
    routes: [route],
    services: new Map(),
    organisationsByKey: new Map(
      organisation === undefined ? [] : [['key-1', organisation]],
    ),
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
}

/** Creates a request that was admitted under a configuration. */
export function createRequest({
  route,
  organisation,
}: AllowedRegions = {}): Exchange {
  const toSet = (regions?: readonly string[]) => regions && new Set(regions);
  const service: Partial<RoutedService> = {name: SERVICE};
  const request: {
    route: Partial<Route>;
    organisation: RoutedOrganisation;
    [field: string]: unknown;
  } = {
    service,
    route: {
      name: 'long',
      targetGapMilliseconds: 180,
      allowedRegions: toSet(route),
    },
    organisation: {name: 'quilters', allowedRegions: toSet(organisation)},
    metadata: {
      requestId: 'r-1',
      promptTokens: 10,
      maximumOutputTokens: 10,
      promptParts: [],
    },
    triedEndpointIds: [],
  };
  return request as unknown as Exchange;
}
