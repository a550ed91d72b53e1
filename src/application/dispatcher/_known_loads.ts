/**
 * What heartbeats tell of dispatch groups, and the choice between groups.
 *
 * @module
 */
import { pickByRendezvous } from '../../domain/membership/mod.js';
import type { DispatchGroup, Tier } from '../../domain/scheduling/mod.js';
import type { GroupLoad } from '../../ports/mod.js';
import type { SlotWish } from '../views/mod.js';
import { SIBLING_VALID_MS } from './_sibling_tiers.js';

/**
 * Wait that is worth giving up a warm cache for, in milliseconds: about the
 * time in which an engine computes a long prompt anew.
 */
const AFFINITY_WAIT_MS = 200;

interface KnownLoad {
  readonly load: GroupLoad;
  readonly atMs: number;
}

/** Remembers the newest load of each group. */
export class KnownLoads {
  readonly #loads = new Map<string, KnownLoad>();

  /** @param loads - as told now. @param nowMs - monotonic time in milliseconds */
  update(loads: readonly GroupLoad[], nowMs: number): void {
    loads.forEach((load) => this.#loads.set(load.groupId, { load, atMs: nowMs }));
  }

  /** @param nowMs - monotonic time. @returns loads that are recent enough to be believed */
  list(nowMs: number): GroupLoad[] {
    this.#loads.forEach(({ atMs }, groupId) => {
      if (nowMs - atMs > SIBLING_VALID_MS) this.#loads.delete(groupId);
    });
    return [...this.#loads.values()].map(({ load }) => load);
  }

  /**
   * Finds a group of a service that has a tier closed.
   *
   * @param groups - the service's groups
   * @param tier - which tier
   * @param nowMs - monotonic time in milliseconds
   * @returns the load of a group that has it closed; undefined when none is known
   */
  findClosed(groups: readonly DispatchGroup[], tier: Tier, nowMs: number): GroupLoad | undefined {
    return groups
      .map(({ id }) => this.#find(id, nowMs))
      .find((load) => load !== undefined && tier > load.openTier);
  }

  /**
   * Picks one of two groups: the one that prompts like this go to, whose cache is
   * likely to be warm, or a random one if the wait there is clearly shorter.
   *
   * @param groups - where it may go; at least one
   * @param wish - what the slot is for
   * @param nowMs - monotonic time in milliseconds
   * @param fraction - a random number in [0, 1)
   * @returns the group
   */
  pickGroup(
    groups: readonly DispatchGroup[],
    wish: SlotWish,
    nowMs: number,
    fraction: number,
  ): DispatchGroup | undefined {
    const warmId = pickByRendezvous(
      wish.blockHashes[0] ?? wish.accountId,
      groups.map(({ id }) => id),
    );
    const warm = groups.find(({ id }) => id === warmId);
    const other = groups[Math.floor(fraction * groups.length)];
    if (!warm || !other) return warm ?? other;
    const gainMs =
      this.#getWait(warm.id, wish.tier, nowMs) - this.#getWait(other.id, wish.tier, nowMs);
    return gainMs > AFFINITY_WAIT_MS ? other : warm;
  }

  #getWait(groupId: string, tier: Tier, nowMs: number): number {
    return this.#find(groupId, nowMs)?.waitMs[tier] ?? 0;
  }

  #find(groupId: string, nowMs: number): GroupLoad | undefined {
    const known = this.#loads.get(groupId);
    return known && nowMs - known.atMs <= SIBLING_VALID_MS ? known.load : undefined;
  }
}
