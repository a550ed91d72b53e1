/**
 * Combines the open tiers of the groups of one service.
 *
 * @module
 */
import { parseGroupServiceId, Tier } from '../../domain/scheduling/mod.js';
import type { GroupLoad } from '../../ports/mod.js';

/** Time for which a reported group load is used, in milliseconds. */
export const GROUP_LOAD_TTL_MS = 3_000;

/**
 * Computes, for each group, the lowest tier that its siblings (the other groups of its service)
 * all have open.
 *
 * @param loads - the known group loads
 * @param groupIds - the groups to compute for
 * @returns group ID → lowest tier open in all siblings; groups without siblings are omitted
 */
export function computeSiblingOpenTiers(
  loads: readonly GroupLoad[],
  groupIds: readonly string[],
): Map<string, Tier> {
  const tiers = new Map<string, Tier>();
  groupIds.forEach((groupId) => {
    const serviceId = parseGroupServiceId(groupId);
    const siblings = loads.filter(
      (load) => load.groupId !== groupId && parseGroupServiceId(load.groupId) === serviceId,
    );
    if (siblings.length === 0) return;
    const lowestOpenTier = siblings.reduce<Tier>(
      (tier, load) => Math.min(tier, load.openTier),
      Tier.Batch,
    );
    tiers.set(groupId, lowestOpenTier);
  });
  return tiers;
}
