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

/**
 * Tells whether something may be used under a restriction. What stands in a region that nobody
 * knows is in none of the allowed ones.
 *
 * @param regions - regions that are allowed
 * @param region - where it stands; undefined: unknown
 * @returns whether it may be used
 */
export function isAllowedRegion(regions: Regions, region: string | undefined): boolean {
  return regions === undefined || (region !== undefined && regions.includes(region));
}
