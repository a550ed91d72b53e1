/**
 * Sums of counts by ID.
 *
 * @module
 */

/** Counts by the ID of a backend server, service or client account. */
export type Counts = Readonly<Record<string, number>>;

/**
 * Adds to the sum of one ID, and drops sums of 0.
 *
 * @param totals - sums by ID, which are changed
 * @param id - the ID
 * @param count - what is added; may be negative
 */
export function addCount(totals: Map<string, number>, id: string, count: number): void {
  const sum = (totals.get(id) ?? 0) + count;
  if (sum === 0) totals.delete(id);
  else totals.set(id, sum);
}

/**
 * Adds counts to the sums of their IDs, or takes them off.
 *
 * @param totals - sums by ID, which are changed
 * @param counts - counts by ID
 * @param sign - 1 to add, -1 to take off
 */
export function addCounts(totals: Map<string, number>, counts: Counts, sign: 1 | -1): void {
  Object.entries(counts).forEach(([id, count]) => addCount(totals, id, count * sign));
}
