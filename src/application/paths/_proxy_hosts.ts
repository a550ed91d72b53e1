/**
 * Picks the peers to which a host that has lost links to backend servers keeps links.
 *
 * @module
 */
import { sortByRendezvous } from '../../domain/membership/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';

/** Number of such peers, in a fleet where a host is otherwise linked to its relay alone. */
const PROXY_LINK_COUNT = 4;

/** Inputs of {@link pickProxyHosts}. */
export interface ProxyHostInputs {
  /** ID of the entry host that needs the peers. */
  readonly hostId: string;
  /** Its availability zone. */
  readonly availabilityZone: string;
  /** Peers that may reach the backend servers. */
  readonly candidates: readonly HostState[];
}

/**
 * Picks peers that can send requests for an entry host. Different hosts get different ones. Those
 * of other zones go first, since the hosts of a zone often lose their links together.
 *
 * @param inputs - the host and the peers
 * @returns the picked peers
 */
export function pickProxyHosts({
  hostId,
  availabilityZone,
  candidates,
}: ProxyHostInputs): HostState[] {
  const [own, others] = [true, false].map((isOwn) =>
    candidates.filter(({ identity }) => (identity.availabilityZone === availabilityZone) === isOwn),
  ) as [HostState[], HostState[]];
  return [others, own].flatMap((hosts) => sortHosts(hostId, hosts)).slice(0, PROXY_LINK_COUNT);
}

function sortHosts(hostId: string, hosts: readonly HostState[]): HostState[] {
  const byKey = new Map(hosts.map((host) => [`${hostId} ${host.identity.id}`, host]));
  return sortByRendezvous(hostId, [...byKey.keys()]).flatMap((key) => byKey.get(key) ?? []);
}
