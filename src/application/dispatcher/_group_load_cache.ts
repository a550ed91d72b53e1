/**
 * Caches the loads of dispatch groups that peers report in heartbeats, and chooses
 * between groups by them.
 *
 * @module
 */
import { pickByRendezvous } from '../../domain/membership/mod.js';
import type { DispatchGroup, Tier } from '../../domain/scheduling/mod.js';
import type { GroupLoad } from '../../ports/mod.js';
import type { SlotRequest } from '../views/mod.js';
import { GROUP_LOAD_TTL_MS } from './_sibling_tiers.js';

/**
 * Additional wait that is accepted for a group whose prefix cache is likely to be
 * warm, in milliseconds: about the time that an engine takes to recompute a long prompt.
 */
const MAX_AFFINITY_WAIT_MS = 200;

interface CachedLoad {
  readonly load: GroupLoad;
  readonly receivedAtMs: number;
}

/** Stores the newest load of each group. */
export class GroupLoadCache {
  readonly #loads = new Map<string, CachedLoad>();

  /** @param loads - newly reported loads. @param nowMs - monotonic time in milliseconds */
  update(loads: readonly GroupLoad[], nowMs: number): void {
    loads.forEach((load) => this.#loads.set(load.groupId, { load, receivedAtMs: nowMs }));
  }

  /** @param nowMs - monotonic time in milliseconds. @returns the loads that have not expired */
  list(nowMs: number): GroupLoad[] {
    this.#loads.forEach(({ receivedAtMs }, groupId) => {
      if (nowMs - receivedAtMs > GROUP_LOAD_TTL_MS) this.#loads.delete(groupId);
    });
    return [...this.#loads.values()].map(({ load }) => load);
  }

  /**
   * Finds a group of a service in which a tier is closed.
   *
   * @param groups - the service's groups
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns the load of such a group; undefined when none is known
   */
  findClosedGroup(
    groups: readonly DispatchGroup[],
    tier: Tier,
    nowMs: number,
  ): GroupLoad | undefined {
    return groups
      .map(({ id }) => this.#find(id, nowMs))
      .find((load) => load !== undefined && tier > load.openTier);
  }

  /**
   * Picks one of two groups: the preferred one, to which all prompts with the same
   * first block go (without blocks: all requests of the account) and whose cache is
   * likely to be warm; or a random one, if the wait there is shorter by more than
   * `MAX_AFFINITY_WAIT_MS`.
   *
   * @param groups - the candidate groups
   * @param request - what the slot is for
   * @param nowMs - monotonic time in milliseconds
   * @param randomFraction - a random number in [0, 1)
   * @returns the group; undefined if there are no candidates
   */
  pickGroup(
    groups: readonly DispatchGroup[],
    request: SlotRequest,
    nowMs: number,
    randomFraction: number,
  ): DispatchGroup | undefined {
    const preferredId = pickByRendezvous(
      request.blockHashes[0] ?? request.accountId,
      groups.map(({ id }) => id),
    );
    const preferred = groups.find(({ id }) => id === preferredId);
    const alternative = groups[Math.floor(randomFraction * groups.length)];
    if (!preferred || !alternative) return preferred ?? alternative;
    const savedWaitMs =
      this.#getWaitMs(preferred.id, request.tier, nowMs) -
      this.#getWaitMs(alternative.id, request.tier, nowMs);
    return savedWaitMs > MAX_AFFINITY_WAIT_MS ? alternative : preferred;
  }

  #getWaitMs(groupId: string, tier: Tier, nowMs: number): number {
    return this.#find(groupId, nowMs)?.waitMs[tier] ?? 0;
  }

  #find(groupId: string, nowMs: number): GroupLoad | undefined {
    const cached = this.#loads.get(groupId);
    return cached && nowMs - cached.receivedAtMs <= GROUP_LOAD_TTL_MS ? cached.load : undefined;
  }
}
