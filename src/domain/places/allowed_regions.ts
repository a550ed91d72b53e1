/**
 * Restrictions on the regions in which a call may be handled.
 *
 * @module
 */

/** Names of the allowed regions; undefined if all are allowed. */
export type AllowedRegions = readonly string[] | undefined;

/**
 * Combines two restrictions.
 *
 * @param one - regions that the first restriction allows
 * @param other - regions that the second restriction allows
 * @returns regions that both allow
 */
export function intersectRegions(one: AllowedRegions, other: AllowedRegions): AllowedRegions {
  if (one === undefined) return other;
  if (other === undefined) return one;
  return one.filter((region) => other.includes(region));
}

/**
 * Tells whether a resource may be used under a restriction. A resource of unknown region is
 * allowed only without a restriction.
 *
 * @param regions - allowed regions
 * @param region - region of the resource; undefined if unknown
 * @returns whether the resource may be used
 */
export function isAllowedRegion(regions: AllowedRegions, region: string | undefined): boolean {
  return regions === undefined || (region !== undefined && regions.includes(region));
}
