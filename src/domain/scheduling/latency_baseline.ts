/**
 * Tracks what a latency normally is, without queueing.
 *
 * @module
 */

/** Weight of each sample in the average of recent samples. */
const RECENT_ALPHA = 0.1;

/**
 * Time constant of the baseline, in milliseconds. The baseline is an average
 * rather than a minimum: calls of one backend server differ a hundredfold, and
 * compared with the shortest call every mix would look like queueing.
 */
const BASELINE_TIME_CONSTANT_MS = 120_000;

/** Samples over which the baseline starts as a plain average. */
const WARM_UP_SAMPLES = 20;

/** Ratio of latency to baseline up to which the latency is not taken for queueing. */
const TOLERANCE = 3;

/** Smallest gradient, the steepest reduction that one sample can request. */
const MIN_GRADIENT = 0.5;

/** A baseline this many times above recent samples is outdated, and decays with each sample. */
const OUTDATED_FACTOR = 2;
const OUTDATED_DECAY = 0.95;

/** Tracks one kind of latency and compares it with its slowly adapting baseline. */
export class LatencyBaseline {
  #baseline = 0;

  #recent = 0;

  #samples = 0;

  #lastObservedAtMs = 0;

  /**
   * Observes one sample.
   *
   * @param sample - the latency, in any unit; a negative value counts as 0
   * @param nowMs - monotonic time in milliseconds
   */
  observe(sample: number, nowMs: number): void {
    const value = Math.max(0, sample);
    this.#samples += 1;
    const warmUpAlpha = this.#samples <= WARM_UP_SAMPLES ? 1 / this.#samples : 0;
    const agingAlpha = Math.max(0, nowMs - this.#lastObservedAtMs) / BASELINE_TIME_CONSTANT_MS;
    this.#baseline += Math.min(1, Math.max(warmUpAlpha, agingAlpha)) * (value - this.#baseline);
    this.#recent += Math.max(warmUpAlpha, RECENT_ALPHA) * (value - this.#recent);
    if (this.#baseline > this.#recent * OUTDATED_FACTOR) this.#baseline *= OUTDATED_DECAY;
    this.#lastObservedAtMs = nowMs;
  }

  /** @returns 1 while latency is near its baseline, falling to 0.5 the further it is above */
  computeGradient(): number {
    if (this.#samples < WARM_UP_SAMPLES || this.#recent <= 0) return 1;
    const ratio = (TOLERANCE * this.#baseline) / this.#recent;
    return Math.min(1, Math.max(MIN_GRADIENT, ratio));
  }
}
