/**
 * Max-min fair division of a capacity.
 *
 * @module
 */

/**
 * Computes max-min fair shares: no consumer gets more than its demand while the
 * demand of another one is unmet. Capacity beyond all demands is split evenly.
 *
 * @param available - the capacity to divide; a negative one counts as 0
 * @param demands - the demand of each consumer by ID
 * @returns the share of each consumer; the sum is exactly the available capacity
 */
export function computeMaxMinShares(
  available: number,
  demands: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const shares = new Map<string, number>();
  const sorted = [...demands].sort(([, a], [, b]) => a - b);
  let remaining = Math.max(0, available);
  sorted.forEach(([id, demand], index) => {
    const share = Math.min(demand, remaining / (sorted.length - index));
    shares.set(id, share);
    remaining -= share;
  });
  shares.forEach((share, id) => shares.set(id, share + remaining / shares.size));
  return shares;
}
