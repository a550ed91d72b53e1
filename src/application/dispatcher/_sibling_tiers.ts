/**
 * Closings between the groups of one service.
 *
 * @module
 */
import { parseGroupService, Tier } from '../../domain/scheduling/mod.js';
import type { GroupLoad } from '../../ports/mod.js';

/** How long another group's word about its gate is believed, in milliseconds. */
export const SIBLING_VALID_MS = 3_000;

/**
 * Computes which tiers the other groups of each group's service have open.
 *
 * @param loads - known loads of groups
 * @param groupIds - the groups to compute for
 * @returns group ID → lowest tier that is open in all others; groups without others are left out
 */
export function computeSiblingTiers(
  loads: readonly GroupLoad[],
  groupIds: readonly string[],
): Map<string, Tier> {
  const tiers = new Map<string, Tier>();
  groupIds.forEach((groupId) => {
    const serviceId = parseGroupService(groupId);
    const others = loads.filter(
      (load) => load.groupId !== groupId && parseGroupService(load.groupId) === serviceId,
    );
    if (others.length === 0) return;
    const lowest = others.reduce<Tier>((tier, load) => Math.min(tier, load.openTier), Tier.Batch);
    tiers.set(groupId, lowest);
  });
  return tiers;
}
