/**
 * Measures how fast a group's queue drains.
 *
 * @module
 */

/** Time constant of the moving average, in milliseconds. */
const DRAIN_TIME_CONSTANT_MS = 10_000;

/** Backlogged time after which the measured rate replaces the default, in milliseconds. */
const MIN_MEASURED_MS = 1_000;

/** Bounds of the measured rate, as multiples of the number of slots. */
const MIN_RATE_FACTOR = 0.05;
const MAX_RATE_FACTOR = 2;

/**
 * Measures the predicted work completed per unit of time. It counts only while
 * requests wait, because an idle group does not show how fast it could be.
 */
export class DrainMeter {
  #completedWorkMs = 0;

  #backloggedMs = 0;

  #lastObservedAtMs: number;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#lastObservedAtMs = nowMs;
  }

  /**
   * Accounts for the time since the last call.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param isBacklogged - whether requests have waited since the last call
   * @param completedWorkMs - predicted work of the slots released now, in
   *   milliseconds
   */
  observe(nowMs: number, isBacklogged: boolean, completedWorkMs = 0): void {
    const elapsedMs = Math.max(0, nowMs - this.#lastObservedAtMs);
    this.#lastObservedAtMs = nowMs;
    if (!isBacklogged) return;
    const decay = Math.exp(-elapsedMs / DRAIN_TIME_CONSTANT_MS);
    this.#completedWorkMs = this.#completedWorkMs * decay + completedWorkMs;
    this.#backloggedMs = this.#backloggedMs * decay + elapsedMs;
  }

  /**
   * Computes the drain rate.
   *
   * @param slots - slots that can be held at once; also the rate before enough
   *   was measured
   * @returns milliseconds of predicted work completed per millisecond; above 0
   */
  computeRate(slots: number): number {
    const minRate = Math.max(1, slots) * MIN_RATE_FACTOR;
    const maxRate = Math.max(1, slots) * MAX_RATE_FACTOR;
    if (this.#backloggedMs < MIN_MEASURED_MS) return Math.max(1, slots);
    return Math.min(maxRate, Math.max(minRate, this.#completedWorkMs / this.#backloggedMs));
  }
}
