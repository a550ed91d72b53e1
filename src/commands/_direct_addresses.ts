/**
 * Picks the addresses of entry hosts that a caller should use.
 *
 * @module
 */
import { pickAddresses, pickNearbyHosts, pickReachingHosts } from '../domain/overlay/mod.js';
import type { GaugeSources } from './_direct_gauges.js';

/** Request of a caller for the addresses of entry hosts to use. */
export interface AddressQuery {
  /** IP address of the caller. */
  readonly address: string;
  /** Region that the caller states; empty if it states none. */
  readonly region: string;
  /** Host name that the caller's calls will address. */
  readonly hostName: string;
}

/**
 * Lists the addresses that a caller should use.
 *
 * @param sources - components of this entry host
 * @param query - location of the caller and the host name it will call
 * @returns addresses of nearby entry hosts that serve, as far as this one knows
 */
export function listNearbyAddresses(
  { reports, storeView, isServing }: Pick<GaugeSources, 'isServing' | 'reports' | 'storeView'>,
  query: AddressQuery,
): readonly string[] {
  const hosts = reports.listHeard().filter((host) => host.isServing);
  const serving = isServing ? [...hosts, reports.self] : hosts;
  const nearbyHosts = pickNearbyHosts(pickReachingHosts(serving), {
    callerRegion: query.region,
    homeRegions: storeView.routing.table?.findAllowedRegions(query.hostName),
    findRegion: (zone) => storeView.findRegion(zone),
  });
  return pickAddresses(nearbyHosts, query.address);
}
