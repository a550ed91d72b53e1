/**
 * Closes lower tiers before a higher tier is refused for lack of capacity.
 *
 * @module
 */
import { Tier } from './tier.js';

/** A closed tier reopens once the backlog has fallen to this fraction of its size at closing. */
const REOPEN_BACKLOG_FRACTION = 0.5;

/**
 * Time with a low backlog before one more tier reopens, in milliseconds. It is
 * also the window of the scheduler's guarantee: after a tier is refused for
 * lack of capacity, no lower tier is admitted for this long.
 */
export const REOPEN_DELAY_MS = 2_000;

/**
 * Tracks which tiers are open. Closing takes effect at once. Reopening proceeds
 * one tier at a time after a delay, so that load near the limit does not make
 * the gate flap.
 */
export class TierGate {
  #openTier: Tier = Tier.Batch;

  #lowBacklogSinceMs = 0;

  #reopenBacklogMs = 0;

  /** Lowest open tier. The highest tier is never closed. */
  get openTier(): Tier {
    return this.#openTier;
  }

  /** @param tier - a tier. @returns whether it is open */
  isOpen(tier: Tier): boolean {
    return tier <= this.#openTier;
  }

  /**
   * Closes every tier below one that is about to be refused for lack of
   * capacity.
   *
   * @param tier - the tier to be refused
   * @param backlogMs - time in which its queue drains, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns whether this call closed a tier
   */
  closeBelow(tier: Tier, backlogMs: number, nowMs: number): boolean {
    this.#lowBacklogSinceMs = nowMs;
    if (tier >= Tier.Batch || tier > this.#openTier) return false;
    this.#reopenBacklogMs = backlogMs * REOPEN_BACKLOG_FRACTION;
    const isChanged = tier < this.#openTier;
    this.#openTier = tier;
    return isChanged;
  }

  /**
   * Reopens one tier after the backlog has been low for long enough.
   *
   * @param backlogMs - time in which the queue of the open tiers drains, in
   *   milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns whether this call reopened a tier
   */
  update(backlogMs: number, nowMs: number): boolean {
    if (this.#openTier >= Tier.Batch) return false;
    if (backlogMs > this.#reopenBacklogMs) {
      this.#lowBacklogSinceMs = nowMs;
      return false;
    }
    if (nowMs - this.#lowBacklogSinceMs < REOPEN_DELAY_MS) return false;
    this.#lowBacklogSinceMs = nowMs;
    this.#openTier += 1;
    return true;
  }
}
