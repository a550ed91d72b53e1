/**
 * The order of precedence between entries of the same key.
 *
 * @module
 */
import type { RawEntry } from './entry.js';

/** The properties of an entry that decide its precedence. */
export type RankedEntry = Pick<RawEntry, 'revision'> & { readonly valueHash: string };

/**
 * Compares two entries of the same key. The order is total, so a merge that keeps
 * the higher entry is commutative, associative and idempotent: entry hosts that
 * received the same entries, in any order and any number of times, converge.
 *
 * Two different values with the same revision exist only if the platform's
 * configuration service was restored from a backup and assigned the same indices
 * again. The greater hash then wins; any rule would do, as long as all hosts use
 * the same one. A deletion has an empty hash and loses to a value of its revision.
 *
 * @param a - the first entry
 * @param b - the second entry
 * @returns positive if `a` has precedence, negative if `b` has, 0 if they are equal
 */
export function compareEntries(a: RankedEntry, b: RankedEntry): number {
  if (a.revision !== b.revision) return a.revision - b.revision;
  if (a.valueHash === b.valueHash) return 0;
  return a.valueHash > b.valueHash ? 1 : -1;
}
