/**
 * Tells whether a configuration sends calls for streams elsewhere than the one before it.
 *
 * @module
 */
import type { RouteTable } from './route_table.js';
import type { Route } from './types.js';

/**
 * Tells whether some calls that could bring a stream under one configuration may go to other services
 * under the next one, or nowhere. Routes for calls that had none move nothing.
 *
 * @param former - routes of a configuration
 * @param next - routes of the one that follows
 * @returns whether streams may have begun elsewhere than where their calls go now
 */
export function hasMovedStreams(former: RouteTable, next: RouteTable): boolean {
  // Between these prefixes, the route of a call stays the same.
  const routes = [...former.document.routes, ...next.document.routes];
  return routes.some(({ hostName, prefix }) => {
    const before = former.findRoute(hostName, prefix);
    if (before?.isStream !== true) return false;
    return formatPlaces(before) !== formatPlaces(next.findRoute(hostName, prefix));
  });
}

/** Formats what determines where a stream may begin; empty if the route brings none. */
function formatPlaces(route: Route | undefined): string {
  if (!route?.isStream) return '';
  const serviceIds = route.services.map(({ serviceId }) => serviceId).sort();
  return JSON.stringify([route.isResumable, route.mayBeAnonymous, serviceIds]);
}
