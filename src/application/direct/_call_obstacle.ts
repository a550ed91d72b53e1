/**
 * Why a call can't be served by any backend server, however long it waits.
 *
 * @module
 */
import { ErrorKind } from '../../domain/errors/mod.js';
import { isAllowedRegion } from '../../domain/places/mod.js';
import type { Regions } from '../../domain/places/mod.js';
import type { ServerKeeper } from './server_keeper.js';

/**
 * Finds the reason.
 *
 * @param servers - all backend servers
 * @param serviceId - service of the call
 * @param regions - regions in which the call may be handled
 * @returns the reason; undefined where a server may be found for it
 */
export function findRejection(
  servers: ServerKeeper,
  serviceId: string,
  regions: Regions,
): ErrorKind | undefined {
  if (servers.isClosed(serviceId)) return ErrorKind.ServiceClosed;
  if (regions === undefined) return undefined;
  const candidates = servers.listCandidates(serviceId);
  const isAllowed = candidates.some(({ region }) => isAllowedRegion(regions, region));
  return candidates.length === 0 || isAllowed ? undefined : ErrorKind.RegionUnavailable;
}
