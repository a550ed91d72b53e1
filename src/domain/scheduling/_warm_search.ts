/**
 * Searches a tier for a demand whose prompt prefix is in the cache of a free
 * backend server.
 *
 * @module
 */
import type { FairTier } from './_fair_tier.js';
import type { WaitingDemand } from './slot_demand.js';
import type { Placement, Placer } from './waiting_queue.js';

/**
 * Most demands of one tier that are examined for one slot, which bounds the
 * time of a grant. This limit leaves a usable slot idle only if that many
 * demands in a row exclude the same backend servers.
 */
export const MAX_EXAMINED = 16;

/**
 * Predicted work, for a weight of 1, by which an account's turn may be brought
 * forward, in milliseconds. Shares still converge because early grants are
 * charged: no account gets further ahead of its share than this.
 */
export const MAX_LEAD_MS = 10_000;

/**
 * Longest time since a tier's last grant, or since its first demand arrived,
 * for which the tier leaves slots idle to wait for a cached prefix, in
 * milliseconds.
 */
export const MAX_CACHE_DELAY_MS = 150;

/** Search result: the tier's first demand waits for a warmer cache, and no other overtakes it. */
export const DELAYED = Symbol('delayed');

/**
 * Selects the next demand of one tier. The first demand may take any target
 * that suits it. A later demand overtakes it only for a target where fewer
 * tokens are recomputed.
 */
export class WarmSearch {
  /** Time since which each tier has left slots idle. */
  readonly #delayedSinceMs = new Map<FairTier, number>();

  /** Ends the delay of a tier after a grant, or once it is empty. @param queue - the tier */
  clearDelay(queue: FairTier): void {
    this.#delayedSinceMs.delete(queue);
  }

  /**
   * Finds the next demand of a tier.
   *
   * @param queue - the tier
   * @param nowMs - monotonic time in milliseconds
   * @param placer - finds targets for demands
   * @returns the demand and its target; {@link DELAYED}; undefined if no demand
   *   has a target
   */
  find<P>(
    queue: FairTier,
    nowMs: number,
    placer: Placer<P>,
  ): Placement<P> | typeof DELAYED | undefined {
    const first = queue.findFirst();
    const firstPlacement = first && findPlacement([first], placer);
    const warmest = findWarmest(queue, placer, firstPlacement);
    if (!warmest) return findPlacement(queue.list(MAX_EXAMINED), placer);
    const isDelayUseful = placer.isWorthDelaying?.(warmest.waiting, warmest.target) === true;
    return isDelayUseful && this.#mayDelay(queue, nowMs) ? DELAYED : warmest;
  }

  #mayDelay(queue: FairTier, nowMs: number): boolean {
    const sinceMs = this.#delayedSinceMs.get(queue) ?? nowMs;
    this.#delayedSinceMs.set(queue, sinceMs);
    return nowMs - sinceMs < MAX_CACHE_DELAY_MS;
  }
}

/**
 * Finds the first demand that has a target.
 *
 * @param demands - demands in the order in which they are tried
 * @param placer - finds targets for demands
 * @param isAged - whether aging lets the demands run out of turn
 * @returns the demand and its target; undefined if no demand has one
 */
export function findPlacement<P>(
  demands: readonly WaitingDemand[],
  placer: Placer<P>,
  isAged = false,
): Placement<P> | undefined {
  for (const waiting of demands) {
    const target = placer.pickTarget(waiting, isAged);
    if (target !== undefined) return { waiting, target };
  }
  return undefined;
}

/**
 * Finds the demand with the fewest recomputed tokens among those near their
 * turn; the earliest of several.
 *
 * @param queue - the tier
 * @param placer - finds targets for demands
 * @param firstPlacement - placement of the tier's first demand, if it has a
 *   target
 * @returns the demand and its target; undefined if none of them has one
 */
function findWarmest<P>(
  queue: FairTier,
  placer: Placer<P>,
  firstPlacement: Placement<P> | undefined,
): Placement<P> | undefined {
  let warmest = firstPlacement;
  let fewestTokens = firstPlacement
    ? (placer.predictRecomputedTokens?.(firstPlacement.waiting, firstPlacement.target) ?? 0)
    : Infinity;
  if (fewestTokens === 0) return firstPlacement;
  for (const waiting of queue.list(MAX_EXAMINED, MAX_LEAD_MS)) {
    const target = placer.pickTarget(waiting, false);
    const recomputedTokens =
      target === undefined ? Infinity : (placer.predictRecomputedTokens?.(waiting, target) ?? 0);
    if (target !== undefined && recomputedTokens < fewestTokens) {
      warmest = { waiting, target };
      fewestTokens = recomputedTokens;
    }
    if (fewestTokens === 0) return warmest;
  }
  return warmest;
}
