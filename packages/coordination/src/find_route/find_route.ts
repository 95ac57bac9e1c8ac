/**
 * Route lookup by host and path.
 */
import type {
  Route,
  RoutingConfiguration,
} from '../routing_configuration/routing_configuration.js';

/**
 * Finds the route of a host with the longest matching path prefix.
 *
 * @param configuration - Configuration in force
 * @param host - `Host` header of the request, with or without a port
 * @param path - Path of the request, without the query
 * @returns The route; undefined when none matches
 *
 * @example
 * findRoute(configuration, 'shop.example:80', '/stock/indigo');
 */
export function findRoute(
  configuration: RoutingConfiguration,
  host: string,
  path: string,
): Route | undefined {
  const hostname = removePort(host).toLowerCase();
  let longest: Route | undefined;
  for (const route of configuration.routes) {
    if (route.hostname !== hostname || !path.startsWith(route.pathPrefix)) {
      continue;
    }
    if (
      longest === undefined ||
      route.pathPrefix.length > longest.pathPrefix.length
    ) {
      longest = route;
    }
  }
  return longest;
}

function removePort(host: string): string {
  return host.replace(/:\d*$/, '');
}
