/**
 * How far requests run over their predicted times.
 *
 * @module
 */

/** Part of all requests that end within their predicted time multiplied by the margin. */
const QUANTILE = 0.95;

/** Margin before anything was learnt. */
const START_MARGIN = 2;

/** Bounds of the margin: outputs are cut off at several times what is expected. */
const MIN_MARGIN = 1.25;
const MAX_MARGIN = 3;

/** Step of the margin with each request that ran over it; the others take it back. */
const STEP = 0.05;

/**
 * Follows a quantile of actual over predicted time. A mean won't do: half of
 * those that are started with just the mean left would run in vain.
 */
export class OverrunMeter {
  #margin = START_MARGIN;

  /** Multiple of its predicted time within which a request probably ends. */
  get margin(): number {
    return this.#margin;
  }

  /**
   * Takes in one request.
   *
   * @param predictedMs - how long it was expected to hold its slot, above 0
   * @param actualMs - how long it did
   * @param isWhole - whether it came to its end; one that was cut off says
   *   something only when it had run for longer than the margin allows
   */
  observe(predictedMs: number, actualMs: number, isWhole: boolean): void {
    const isOver = actualMs > predictedMs * this.#margin;
    if (!isOver && !isWhole) return;
    const change = isOver ? STEP * QUANTILE : -STEP * (1 - QUANTILE);
    this.#margin = Math.min(MAX_MARGIN, Math.max(MIN_MARGIN, this.#margin + change));
  }
}
