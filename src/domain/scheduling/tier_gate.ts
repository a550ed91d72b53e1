/**
 * Closing of lower tiers before a higher one is refused for lack of room.
 *
 * @module
 */
import { Tier } from './tier.js';

/** A closed tier reopens when the queue has drained to this part of what it was at the closing. */
const REOPEN_BACKLOG_PART = 0.5;

/**
 * Time that must pass without pressure before one more tier reopens, in
 * milliseconds. It is also the window in which the promise is counted: after a
 * refusal of a tier for lack of room, no lower tier is admitted for this long.
 */
export const REOPEN_HOLD_MS = 2_000;

/**
 * Knows which tiers are open. Closing is at once; reopening is one tier at a
 * time after a calm spell, so that load at the edge doesn't make it flap.
 */
export class TierGate {
  #openTier: Tier = Tier.Batch;

  #calmSinceMs = 0;

  #reopenBacklogMs = 0;

  /** Lowest tier that is open. The highest is never closed. */
  get openTier(): Tier {
    return this.#openTier;
  }

  /** @param tier - which tier. @returns whether it is open */
  isOpen(tier: Tier): boolean {
    return tier <= this.#openTier;
  }

  /**
   * Closes every tier below one that is about to be refused for lack of room.
   *
   * @param tier - the tier that is refused
   * @param backlogMs - time in which its queue drains, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a tier was closed by this
   */
  closeBelow(tier: Tier, backlogMs: number, nowMs: number): boolean {
    this.#calmSinceMs = nowMs;
    if (tier >= Tier.Batch || tier > this.#openTier) return false;
    this.#reopenBacklogMs = backlogMs * REOPEN_BACKLOG_PART;
    const isChanged = tier < this.#openTier;
    this.#openTier = tier;
    return isChanged;
  }

  /**
   * Reopens one tier after a calm spell.
   *
   * @param backlogMs - time in which the queue of the open tiers drains, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a tier was reopened by this
   */
  update(backlogMs: number, nowMs: number): boolean {
    if (this.#openTier >= Tier.Batch) return false;
    if (backlogMs > this.#reopenBacklogMs) {
      this.#calmSinceMs = nowMs;
      return false;
    }
    if (nowMs - this.#calmSinceMs < REOPEN_HOLD_MS) return false;
    this.#calmSinceMs = nowMs;
    this.#openTier += 1;
    return true;
  }
}
