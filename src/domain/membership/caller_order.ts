/**
 * The order in which callers are told of entry hosts.
 *
 * @module
 */
import type { EntryHostView } from './types.js';
import { PeerState } from './types.js';

/**
 * Sorts entry hosts for a caller: those of the availability zone first, inside
 * each part in random order so that callers spread. Only live ones are named.
 *
 * @param hosts - all known entry hosts
 * @param availabilityZone - where the asked entry host stands
 * @param nextRandom - gives random numbers in [0, 1)
 * @returns the live ones in the order to be tried
 */
export function sortForCallers(
  hosts: readonly EntryHostView[],
  availabilityZone: string,
  nextRandom: () => number,
): readonly EntryHostView[] {
  return hosts
    .filter((host) => host.state === PeerState.Live)
    .map((host) => ({
      host,
      rank: (host.identity.availabilityZone === availabilityZone ? 0 : 1) + nextRandom(),
    }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ host }) => host);
}
