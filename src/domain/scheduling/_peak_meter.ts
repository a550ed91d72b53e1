/**
 * Tracks the peak of recent values.
 *
 * @module
 */

/** Length of each of the two remembered intervals, in milliseconds. */
const INTERVAL_MS = 2_000;

/** Remembers the peak of the last two to four seconds. */
export class PeakMeter {
  #intervalStartMs = Number.NEGATIVE_INFINITY;

  #current = 0;

  #previous = 0;

  /** @param value - current value. @param nowMs - monotonic time in milliseconds */
  observe(value: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#intervalStartMs;
    if (elapsedMs >= INTERVAL_MS) {
      this.#previous = elapsedMs < 2 * INTERVAL_MS ? this.#current : 0;
      this.#current = 0;
      this.#intervalStartMs = nowMs;
    }
    this.#current = Math.max(this.#current, value);
  }

  /** @param value - current value. @param nowMs - monotonic time. @returns the recent peak */
  getPeak(value: number, nowMs: number): number {
    this.observe(value, nowMs);
    return Math.max(this.#current, this.#previous);
  }
}
