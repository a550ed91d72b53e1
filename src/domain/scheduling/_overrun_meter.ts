/**
 * Measures how far requests run over their predicted times.
 *
 * @module
 */

/** Fraction of requests that end within their predicted time multiplied by the margin. */
const QUANTILE = 0.95;

/** Margin before any request has been observed. */
const INITIAL_MARGIN = 2;

/** Bounds of the margin. Outputs are cut off at several times their expected length. */
const MIN_MARGIN = 1.25;
const MAX_MARGIN = 3;

/**
 * Step by which the margin adapts: it rises with each overrun and falls more
 * slowly with each request that ends within it.
 */
const STEP = 0.05;

/**
 * Tracks a quantile of the ratio of actual to predicted time. A mean does not
 * suffice: half of the requests started with just the mean time left would miss
 * their deadlines.
 */
export class OverrunMeter {
  #margin = INITIAL_MARGIN;

  /** Multiple of its predicted time within which a request probably ends. */
  get margin(): number {
    return this.#margin;
  }

  /**
   * Observes one request.
   *
   * @param predictedMs - predicted time in the slot, above 0
   * @param actualMs - actual time in the slot
   * @param isComplete - whether the request ran to completion; one that was cut
   *   off is informative only if it ran longer than the margin allows
   */
  observe(predictedMs: number, actualMs: number, isComplete: boolean): void {
    const hasOverrun = actualMs > predictedMs * this.#margin;
    if (!hasOverrun && !isComplete) return;
    const change = hasOverrun ? STEP * QUANTILE : -STEP * (1 - QUANTILE);
    this.#margin = Math.min(MAX_MARGIN, Math.max(MIN_MARGIN, this.#margin + change));
  }
}
