/**
 * How long an entry host needs after its start to hear of all others.
 *
 * @module
 */

/**
 * Time until it knows all others, in milliseconds: it asks a seed, which tells it of the
 * relays, and a relay tells it of everybody.
 */
const DISCOVERY_MS = 2_000;

/**
 * The same for one that hears of nobody, in milliseconds: it may be cut off, and takes itself
 * for the only one once a partition of usual length would have ended.
 */
const ALONE_DISCOVERY_MS = 20_000;

/**
 * Tells whether an entry host has had the time to hear of all others.
 *
 * @param ageMs - time since its start, in milliseconds
 * @param heardCount - others that it hears
 * @returns whether it has
 */
export function hasSettled(ageMs: number, heardCount: number): boolean {
  return ageMs >= (heardCount > 0 ? DISCOVERY_MS : ALONE_DISCOVERY_MS);
}
