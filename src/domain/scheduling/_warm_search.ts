/**
 * Search for a demand whose prompt prefix the free place's cache holds.
 *
 * @module
 */
import type { FairTier } from './_fair_tier.js';
import type { WaitingDemand } from './slot_demand.js';
import type { Placement, Placer } from './waiting_queue.js';

/**
 * Most demands of one tier that are looked at for one slot. It bounds the time
 * of a grant; a slot is left unused by it only where as many demands in a row
 * exclude the same backend servers.
 */
export const MAX_LOOKED_AT = 16;

/**
 * Predicted work, for a weight of 1, by which an account's turn may be brought
 * forward, in milliseconds. Shares still converge, since what is granted early
 * is paid for: no account gets further ahead of its share than this.
 */
export const MAX_LEAD_MS = 10_000;

/**
 * Longest time after its last grant, or after its first demand came, for which a
 * tier keeps slots free for want of a prefix, in milliseconds.
 */
export const MAX_HOLD_MS = 150;

/** The tier's first demand waits for a warmer place; nothing goes ahead of it into this one. */
export const ON_HOLD = Symbol('on hold');

/**
 * Chooses among the first demands of one tier. The first one has every place
 * that suits it; one further back goes ahead of it only into a place where less
 * is computed again.
 */
export class WarmSearch {
  /** Since when a tier keeps slots free. */
  readonly #heldSinceMs = new Map<FairTier, number>();

  /** @param queue - a tier of which something was granted, or nothing waits any more */
  release(queue: FairTier): void {
    this.#heldSinceMs.delete(queue);
  }

  /**
   * Finds the next demand of a tier.
   *
   * @param queue - the tier
   * @param nowMs - monotonic time in milliseconds
   * @param placer - where demands could run
   * @returns the demand and its place; {@link ON_HOLD}; undefined when none has a place
   */
  find<P>(
    queue: FairTier,
    nowMs: number,
    placer: Placer<P>,
  ): Placement<P> | typeof ON_HOLD | undefined {
    const first = queue.findFirst();
    const head = first && findPlacement([first], placer);
    const least = findWarmest(queue, placer, head);
    if (!least) return findPlacement(queue.list(MAX_LOOKED_AT), placer);
    const isCold = placer.isWorthHolding?.(least.waiting, least.place) === true;
    return isCold && this.#mayHold(queue, nowMs) ? ON_HOLD : least;
  }

  #mayHold(queue: FairTier, nowMs: number): boolean {
    const sinceMs = this.#heldSinceMs.get(queue) ?? nowMs;
    this.#heldSinceMs.set(queue, sinceMs);
    return nowMs - sinceMs < MAX_HOLD_MS;
  }
}

/**
 * Finds the first demand that has a place.
 *
 * @param inOrder - the demands
 * @param placer - where they could run
 * @param isAged - whether they are put ahead
 * @returns the demand and its place; undefined when none has one
 */
export function findPlacement<P>(
  inOrder: readonly WaitingDemand[],
  placer: Placer<P>,
  isAged = false,
): Placement<P> | undefined {
  for (const waiting of inOrder) {
    const place = placer.pickPlace(waiting, isAged);
    if (place !== undefined) return { waiting, place };
  }
  return undefined;
}

/**
 * Finds the demand with the fewest repeated tokens, the first of them, among
 * those that are near their turn.
 *
 * @param queue - the tier
 * @param placer - where demands could run
 * @param head - the tier's first demand, if it has a place
 * @returns the demand and its place; undefined when none of them has one
 */
function findWarmest<P>(
  queue: FairTier,
  placer: Placer<P>,
  head: Placement<P> | undefined,
): Placement<P> | undefined {
  let warmest = head;
  let least = head ? (placer.predictRepeated?.(head.waiting, head.place) ?? 0) : Infinity;
  if (least === 0) return head;
  for (const waiting of queue.list(MAX_LOOKED_AT, MAX_LEAD_MS)) {
    const place = placer.pickPlace(waiting, false);
    const repeated =
      place === undefined ? Infinity : (placer.predictRepeated?.(waiting, place) ?? 0);
    if (place !== undefined && repeated < least) {
      warmest = { waiting, place };
      least = repeated;
    }
    if (least === 0) return warmest;
  }
  return warmest;
}
