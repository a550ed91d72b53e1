/**
 * Decides when an entry host has been up for long enough to know all other entry hosts.
 *
 * @module
 */

/**
 * Time until an entry host knows all others, in milliseconds: it asks a seed, which names the
 * relays, and a relay then reports all entry hosts.
 */
const DISCOVERY_MS = 2_000;

/**
 * Time until an entry host that hears from no other assumes that it is the only one, in
 * milliseconds. It may be partitioned from the others; a partition of usual length ends within
 * this time.
 */
const ALONE_DISCOVERY_MS = 20_000;

/**
 * Tells whether an entry host had enough time to discover all others.
 *
 * @param ageMs - time since the entry host started, in milliseconds
 * @param heardCount - number of other entry hosts that it currently hears from
 * @returns whether discovery is complete
 */
export function hasSettled(ageMs: number, heardCount: number): boolean {
  return ageMs >= (heardCount > 0 ? DISCOVERY_MS : ALONE_DISCOVERY_MS);
}
