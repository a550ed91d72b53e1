/**
 * Regions in which a call may be handled.
 *
 * @module
 */

/** Names of regions; undefined: all are allowed. */
export type Regions = readonly string[] | undefined;

/**
 * Joins two restrictions.
 *
 * @param one - regions that the first allows
 * @param other - regions that the second allows
 * @returns regions that both allow
 */
export function intersectRegions(one: Regions, other: Regions): Regions {
  if (one === undefined) return other;
  if (other === undefined) return one;
  return one.filter((region) => other.includes(region));
}
