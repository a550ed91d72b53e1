/**
 * Picks the peers to which a host that has lost links to backend servers keeps links.
 *
 * @module
 */
import { sortByRendezvous } from '../../domain/membership/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { mayProxy } from '../../domain/paths/mod.js';

/** Number of such peers, in a fleet where a host is otherwise linked to its relay alone. */
const PROXY_LINK_COUNT = 4;

/**
 * Picks peers that can send requests for an entry host. Different hosts get different ones.
 *
 * @param hostId - ID of the entry host
 * @param heard - peers that are heard
 * @returns the peers
 */
export function pickProxyHosts(hostId: string, heard: readonly HostState[]): HostState[] {
  const hosts = heard.filter(mayProxy);
  const ids = hosts.map(({ identity }) => `${hostId} ${identity.id}`);
  const picked = new Set(sortByRendezvous(hostId, ids).slice(0, PROXY_LINK_COUNT));
  return hosts.filter(({ identity }) => picked.has(`${hostId} ${identity.id}`));
}
