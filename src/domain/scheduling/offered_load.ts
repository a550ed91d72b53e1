/**
 * Predicts how many slots each tier needs from its recently offered load.
 *
 * @module
 */
import { TIERS } from './tier.js';
import type { Tier } from './tier.js';

/** Time constant of the moving average, in milliseconds. */
const OFFERED_TIME_CONSTANT_MS = 10_000;

/** Tracks the predicted work of arriving requests by tier. */
export class OfferedLoad {
  /** Predicted work of each tier in milliseconds, decaying over time. */
  readonly #workMs = new Map<Tier, number>(TIERS.map((tier) => [tier, 0]));

  #lastObservedAtMs: number;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#lastObservedAtMs = nowMs;
  }

  /**
   * Records an arriving request that a slot could serve in time, whether or not
   * it is admitted.
   *
   * @param tier - tier of the request
   * @param workMs - its predicted work in one slot, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  observe(tier: Tier, workMs: number, nowMs: number): void {
    this.#decay(nowMs);
    this.#workMs.set(tier, (this.#workMs.get(tier) ?? 0) + workMs);
  }

  /**
   * Predicts how many slots the tiers above a given one need.
   *
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns average number of slots; not a whole number
   */
  predictSlotsAbove(tier: Tier, nowMs: number): number {
    this.#decay(nowMs);
    const workMs = TIERS.filter((other) => other < tier).reduce(
      (sum, other) => sum + (this.#workMs.get(other) ?? 0),
      0,
    );
    return workMs / OFFERED_TIME_CONSTANT_MS;
  }

  #decay(nowMs: number): void {
    const decay = Math.exp(-Math.max(0, nowMs - this.#lastObservedAtMs) / OFFERED_TIME_CONSTANT_MS);
    this.#lastObservedAtMs = nowMs;
    this.#workMs.forEach((workMs, tier) => this.#workMs.set(tier, workMs * decay));
  }
}
