/**
 * Regions in which a request may run.
 */
import type {
  Route,
  RoutedOrganisation,
  RoutingConfiguration,
} from '@briarpin/coordination';

/** Regions of a restriction; undefined if all may be used. */
type Regions = ReadonlySet<string> | undefined;

/** Restrictions of one configuration, by name. */
interface RestrictionIndex {
  readonly routes: ReadonlyMap<string, Regions>;
  readonly organisations: ReadonlyMap<string, Regions>;
}

/** Indexes by configuration, so that a choice does not scan all keys. */
const indexByConfiguration = new WeakMap<
  RoutingConfiguration,
  RestrictionIndex
>();

/** Route and organisation under which a request was admitted. */
export interface RestrictedRequest {
  readonly route: Pick<Route, 'name' | 'allowedRegions'>;
  readonly organisation?: Pick<RoutedOrganisation, 'name' | 'allowedRegions'>;
}

/**
 * Resolves the regions in which a request may run: those that both its route and
 * its organisation allow in the configuration in force. A route or organisation
 * that this configuration lacks keeps the restriction of the admission.
 *
 * @param request - Route and organisation of the admission
 * @param configuration - Configuration in force; undefined before the first one
 * @returns The regions; undefined if all may be used
 */
export function resolveAllowedRegions(
  {route, organisation}: RestrictedRequest,
  configuration: RoutingConfiguration | undefined,
): Regions {
  const index =
    configuration === undefined ? undefined : getIndex(configuration);
  const routeRegions = resolve(route, index?.routes);
  const organisationRegions =
    organisation === undefined
      ? undefined
      : resolve(organisation, index?.organisations);
  return intersect(routeRegions, organisationRegions);
}

function resolve(
  {name, allowedRegions}: RestrictedRequest['route'],
  current: ReadonlyMap<string, Regions> | undefined,
): Regions {
  return current?.has(name) === true ? current.get(name) : allowedRegions;
}

function getIndex(configuration: RoutingConfiguration): RestrictionIndex {
  const known = indexByConfiguration.get(configuration);
  if (known !== undefined) {
    return known;
  }
  const organisations = configuration.organisationsByKey?.values() ?? [];
  const index = {
    routes: collectByName(configuration.routes),
    organisations: collectByName(organisations),
  };
  indexByConfiguration.set(configuration, index);
  return index;
}

/** Intersects the restrictions of entries that have the same name. */
function collectByName(
  entries: Iterable<RestrictedRequest['route']>,
): ReadonlyMap<string, Regions> {
  const byName = new Map<string, Regions>();
  for (const {name, allowedRegions} of entries) {
    byName.set(name, intersect(byName.get(name), allowedRegions));
  }
  return byName;
}

function intersect(left: Regions, right: Regions): Regions {
  return left === undefined || right === undefined
    ? (left ?? right)
    : new Set([...left].filter(region => right.has(region)));
}
