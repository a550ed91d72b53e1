/**
 * How fast a group's queue really drains.
 *
 * @module
 */

/** Time constant of the average, in milliseconds. */
const DRAIN_MEMORY_MS = 10_000;

/** Time under backlog before the measured rate is believed, in milliseconds. */
const MIN_MEASURED_MS = 1_000;

/** Bounds of the measured rate, as parts of the number of slots. */
const MIN_RATE_PART = 0.05;
const MAX_RATE_PART = 2;

/**
 * Measures predicted work done a unit of time, counted only while something
 * waits: an idle group says nothing of how fast it could be.
 */
export class DrainMeter {
  #doneMs = 0;

  #backlogMs = 0;

  #seenAtMs: number;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#seenAtMs = nowMs;
  }

  /**
   * Takes in the time since the last call.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param isBacklogged - whether something waited since the last call
   * @param doneMs - predicted work of slots that were given back now, in milliseconds
   */
  observe(nowMs: number, isBacklogged: boolean, doneMs = 0): void {
    const elapsedMs = Math.max(0, nowMs - this.#seenAtMs);
    this.#seenAtMs = nowMs;
    if (!isBacklogged) return;
    const kept = Math.exp(-elapsedMs / DRAIN_MEMORY_MS);
    this.#doneMs = this.#doneMs * kept + doneMs;
    this.#backlogMs = this.#backlogMs * kept + elapsedMs;
  }

  /**
   * Computes the drain rate.
   *
   * @param slots - slots that can be held at once; the rate before anything was measured
   * @returns predicted work in milliseconds that is done a millisecond; above 0
   */
  computeRate(slots: number): number {
    const least = Math.max(1, slots) * MIN_RATE_PART;
    const most = Math.max(1, slots) * MAX_RATE_PART;
    if (this.#backlogMs < MIN_MEASURED_MS) return Math.max(1, slots);
    return Math.min(most, Math.max(least, this.#doneMs / this.#backlogMs));
  }
}
