/**
 * Picks the entry hosts that relay the reports of others.
 *
 * @module
 */
import { sortByRendezvous } from '../membership/mod.js';
import type { HostState } from './types.js';

/**
 * Maximum number of entry hosts that report to each other in a full mesh. A report to a peer
 * and its answer take about half a millisecond of processor time, so that with twelve entry
 * hosts and 6.7 reports a second each host spends 0.04 cores on reports. The total cost
 * grows with the square of the number of hosts.
 */
export const MAX_MESH_HOSTS = 12;

/**
 * Minimum group size for which a relay is planned. A relay has the fewest links when the
 * number of groups equals the number of members per group; below this size it has few links
 * in any case.
 */
const MIN_GROUP_SIZE = 12;

/** Fields of an entry host on which the choice of relays and addresses depends. */
export type PlannedHost = Pick<HostState, 'identity' | 'cores'>;

/**
 * Picks the relays of each availability zone, preferring the entry hosts with the most cores.
 * Entry hosts that know the same hosts pick the same relays; while their views differ,
 * members find a relay by trying one after the other.
 *
 * @param hosts - entry hosts that are heard and not leaving, this one included
 * @returns the IDs of the relays; all IDs in a full mesh
 */
export function pickRelays(hosts: readonly PlannedHost[]): ReadonlySet<string> {
  if (hosts.length <= MAX_MESH_HOSTS) return new Set(hosts.map(({ identity }) => identity.id));
  const groupSize = Math.max(MIN_GROUP_SIZE, Math.ceil(Math.sqrt(hosts.length)));
  const zones = new Map<string, PlannedHost[]>();
  hosts.forEach((host) => {
    const zone = zones.get(host.identity.availabilityZone) ?? [];
    zone.push(host);
    zones.set(host.identity.availabilityZone, zone);
  });
  return new Set([...zones.values()].flatMap((zone) => pickStrongest(zone, groupSize)));
}

/**
 * Orders relays by preference for a member. Relays of its own availability zone come first, so
 * that reports don't cross zones. Within each group the order differs from member to member,
 * so that members spread evenly over relays, and so do the members of a lost relay.
 *
 * @param member - entry host that needs a relay
 * @param relays - the relays
 * @returns the IDs of the relays, most preferred first
 */
export function rankRelays(member: PlannedHost, relays: readonly PlannedHost[]): readonly string[] {
  const { id, availabilityZone } = member.identity;
  const sameZone = relays.filter(({ identity }) => identity.availabilityZone === availabilityZone);
  const otherZones = relays.filter(
    ({ identity }) => identity.availabilityZone !== availabilityZone,
  );
  return [sameZone, otherZones].flatMap((group) =>
    sortByRendezvous(
      id,
      group.map(({ identity }) => identity.id),
    ),
  );
}

function pickStrongest(zone: readonly PlannedHost[], groupSize: number): readonly string[] {
  const count = Math.ceil(zone.length / groupSize);
  return [...zone]
    .sort((a, b) => b.cores - a.cores || (a.identity.id < b.identity.id ? -1 : 1))
    .slice(0, count)
    .map(({ identity }) => identity.id);
}
