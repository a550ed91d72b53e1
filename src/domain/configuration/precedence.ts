/**
 * Which of two entries of one key holds.
 *
 * @module
 */
import type { RawEntry } from './entry.js';

/** What precedence depends on. */
export type RankedEntry = Pick<RawEntry, 'revision'> & { readonly valueHash: string };

/**
 * Compares two entries of one key. This is a total order, so that taking the
 * higher one is commutative, associative and idempotent: entry hosts that have
 * seen the same entries, in any order and any number of times, agree.
 *
 * Two different values at one revision exist only where the platform's service
 * was put back to an older state and counted the same indices again. The hash
 * then decides, since any rule does as long as it is the same everywhere. A
 * deletion, whose hash is empty, gives way to a value of the same revision.
 *
 * @param a - one entry
 * @param b - the other
 * @returns positive when `a` holds, negative when `b` does, 0 when they are the same
 */
export function compareEntries(a: RankedEntry, b: RankedEntry): number {
  if (a.revision !== b.revision) return a.revision - b.revision;
  if (a.valueHash === b.valueHash) return 0;
  return a.valueHash > b.valueHash ? 1 : -1;
}
