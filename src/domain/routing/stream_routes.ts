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
  // Between the prefixes of both, the route of a call stays the same.
  return [former, next].some((table) => {
    for (const [hostName, prefix] of table.listPrefixes()) {
      const before = former.findRoute(hostName, prefix);
      if (before?.isStream && !hasSamePlaces(before, next.findRoute(hostName, prefix))) return true;
    }
    return false;
  });
}

/** Tells whether streams of two routes may begin at the same servers. */
function hasSamePlaces(one: Route, other: Route | undefined): boolean {
  if (!other?.isStream || one.isResumable !== other.isResumable) return false;
  if (one.mayBeAnonymous !== other.mayBeAnonymous) return false;
  if (one.services.length !== other.services.length) return false;
  if (one.services.length === 1) return one.services[0]?.serviceId === other.services[0]?.serviceId;
  if (one.services === other.services) return true;
  const ids = listServiceIds(other);
  return listServiceIds(one).every((id, index) => id === ids[index]);
}

function listServiceIds({ services }: Route): readonly string[] {
  return services.map(({ serviceId }) => serviceId).sort();
}
