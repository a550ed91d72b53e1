/**
 * Orders the entry hosts that a caller may try.
 *
 * @module
 */
import type { EntryHostView } from './types.js';
import { PeerState } from './types.js';

/**
 * Sorts the live entry hosts for a caller: hosts of the given availability zone come first.
 * The order within the zone and among the other hosts is random, to spread callers evenly.
 *
 * @param hosts - all known entry hosts
 * @param availabilityZone - availability zone of the entry host that the caller asked
 * @param nextRandom - returns a random number in [0, 1)
 * @returns the live entry hosts in the order in which to try them
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
