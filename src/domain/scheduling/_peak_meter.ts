/**
 * The highest of recent values.
 *
 * @module
 */

/** Length of one of the two spells that are remembered, in milliseconds. */
const SPELL_MS = 2_000;

/** Remembers the peak of the last two to four seconds. */
export class PeakMeter {
  #spellStartMs = Number.NEGATIVE_INFINITY;

  #current = 0;

  #previous = 0;

  /** @param value - the value now. @param nowMs - monotonic time in milliseconds */
  observe(value: number, nowMs: number): void {
    const elapsedMs = nowMs - this.#spellStartMs;
    if (elapsedMs >= SPELL_MS) {
      this.#previous = elapsedMs < 2 * SPELL_MS ? this.#current : 0;
      this.#current = 0;
      this.#spellStartMs = nowMs;
    }
    this.#current = Math.max(this.#current, value);
  }

  /** @param value - the value now. @param nowMs - monotonic time. @returns the recent peak */
  getPeak(value: number, nowMs: number): number {
    this.observe(value, nowMs);
    return Math.max(this.#current, this.#previous);
  }
}
