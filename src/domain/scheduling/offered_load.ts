/**
 * How many slots each tier needs, by what it has brought lately.
 *
 * @module
 */
import { TIERS } from './tier.js';
import type { Tier } from './tier.js';

/** Time constant of the average, in milliseconds. */
const OFFERED_MEMORY_MS = 10_000;

/** Follows predicted work that arrives, by tier. */
export class OfferedLoad {
  /** Predicted work in milliseconds, decaying. */
  readonly #workMs = new Map<Tier, number>(TIERS.map((tier) => [tier, 0]));

  #seenAtMs: number;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#seenAtMs = nowMs;
  }

  /**
   * Notes an arrival that a slot could serve in time, whether it is admitted or not.
   *
   * @param tier - its tier
   * @param workMs - its predicted work in milliseconds of one slot
   * @param nowMs - monotonic time in milliseconds
   */
  observe(tier: Tier, workMs: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#workMs.set(tier, (this.#workMs.get(tier) ?? 0) + workMs);
  }

  /**
   * Predicts the slots that should be kept for the tiers above one.
   *
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns slots on average; not whole
   */
  predictSlotsAbove(tier: Tier, nowMs: number): number {
    this.#decay(nowMs);
    const workMs = TIERS.filter((other) => other < tier).reduce(
      (sum, other) => sum + (this.#workMs.get(other) ?? 0),
      0,
    );
    return workMs / OFFERED_MEMORY_MS;
  }

  #decay(nowMs: number): void {
    const kept = Math.exp(-Math.max(0, nowMs - this.#seenAtMs) / OFFERED_MEMORY_MS);
    this.#seenAtMs = nowMs;
    this.#workMs.forEach((workMs, tier) => this.#workMs.set(tier, workMs * kept));
  }
}
