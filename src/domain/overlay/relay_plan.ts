/**
 * Which entry hosts pass reports on for others.
 *
 * @module
 */
import { sortByRendezvous } from '../membership/mod.js';
import type { HostState } from './types.js';

/**
 * Entry hosts up to which everybody reports to everybody. A report to a peer and its
 * answer take about half a millisecond of processor, so that at twelve entry hosts and
 * 6.7 reports a second each spends 0.04 cores on it; the cost of all together grows
 * with the square of their number.
 */
export const MAX_MESH_HOSTS = 12;

/**
 * Fewest members that a relay is planned for. With as many groups as members in one,
 * a relay's links are fewest; below this size they are few in any case.
 */
const MIN_GROUP_SIZE = 12;

/** What a plan depends on. */
export type PlannedHost = Pick<HostState, 'identity' | 'cores'>;

/**
 * Picks the relays of each availability zone, the strongest entry hosts first. All that
 * see the same entry hosts pick the same relays; where views differ for a moment,
 * members find a relay by asking the next.
 *
 * @param hosts - entry hosts that are heard and stay, this one included
 * @returns the relays' IDs; all IDs where everybody reports to everybody
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
 * Orders relays by how well they suit a member: those of its own availability zone
 * first, whose reports cross no zone, and among these an order of the member's own, so
 * that members spread evenly and the relays of a lost one's members do too.
 *
 * @param member - who looks for a relay
 * @param relays - the relays
 * @returns the relays' IDs, best first
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
