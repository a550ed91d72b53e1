/**
 * What a latency is when nothing unusual is in its way.
 *
 * @module
 */

/** Part of each sample in the average of recent ones. */
const RECENT_ALPHA = 0.1;

/**
 * Time constant of the baseline, in milliseconds. The baseline is an average
 * too, and no minimum: calls of one backend server differ a hundredfold, and
 * against the shortest of them every mix would look like queueing.
 */
const BASELINE_AGING_MS = 120_000;

/** Samples whose plain average the baseline starts from. */
const WARM_UP_SAMPLES = 20;

/** Latency over the baseline that is not yet taken for queueing. */
const TOLERANCE = 3;

/** Steepest fall that one sample can ask for. */
const MIN_GRADIENT = 0.5;

/** A baseline this many times above what is seen is outdated and falls at once. */
const OUTDATED_FACTOR = 2;
const OUTDATED_FALL = 0.95;

/** Follows one kind of latency and compares it with its slowly aging baseline. */
export class LatencyBaseline {
  #baseline = 0;

  #recent = 0;

  #samples = 0;

  #seenAtMs = 0;

  /**
   * Takes in one sample.
   *
   * @param sample - the latency, in any unit; below 0 counts as 0
   * @param nowMs - monotonic time in milliseconds
   */
  observe(sample: number, nowMs: number): void {
    const value = Math.max(0, sample);
    this.#samples += 1;
    const warmUpAlpha = this.#samples <= WARM_UP_SAMPLES ? 1 / this.#samples : 0;
    const aging = Math.max(0, nowMs - this.#seenAtMs) / BASELINE_AGING_MS;
    this.#baseline += Math.min(1, Math.max(warmUpAlpha, aging)) * (value - this.#baseline);
    this.#recent += Math.max(warmUpAlpha, RECENT_ALPHA) * (value - this.#recent);
    if (this.#baseline > this.#recent * OUTDATED_FACTOR) this.#baseline *= OUTDATED_FALL;
    this.#seenAtMs = nowMs;
  }

  /** @returns 1 while latency is near its baseline, down to 0.5 the further it is above */
  computeGradient(): number {
    if (this.#samples < WARM_UP_SAMPLES || this.#recent <= 0) return 1;
    const ratio = (TOLERANCE * this.#baseline) / this.#recent;
    return Math.min(1, Math.max(MIN_GRADIENT, ratio));
  }
}
