/**
 * Finds calls that no backend server can take, however long they wait.
 *
 * @module
 */
import { ErrorKind } from '../../domain/errors/mod.js';
import { isAllowedRegion } from '../../domain/places/mod.js';
import type { AllowedRegions } from '../../domain/places/mod.js';
import type { ServerRegistry } from './server_registry.js';

/**
 * Finds why no backend server can take a call: all servers of the service are in closed zones,
 * or none is in a region in which the call may be handled.
 *
 * @param servers - all known backend servers
 * @param serviceId - service of the call
 * @param regions - regions in which the call may be handled; undefined: any region
 * @returns the kind of refusal; undefined when waiting may help
 */
export function findRejection(
  servers: ServerRegistry,
  serviceId: string,
  regions: AllowedRegions,
): ErrorKind | undefined {
  if (servers.hasOnlyClosedZones(serviceId)) return ErrorKind.ServiceClosed;
  if (regions === undefined) return undefined;
  const candidates = servers.listCandidates(serviceId);
  const isAllowed = candidates.some(({ region }) => isAllowedRegion(regions, region));
  return candidates.length === 0 || isAllowed ? undefined : ErrorKind.RegionUnavailable;
}
