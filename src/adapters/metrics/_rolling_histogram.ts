/**
 * Provides an HDR histogram over a rolling time window.
 *
 * @module
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { Clock } from '../../ports/mod.js';

/** Values are stored in thousandths of their unit, so that 0.2 ms isn't rounded to 0. */
const SCALE = 1000;
const MAX_SCALED_VALUE = 86_400_000 * SCALE;
const SIGNIFICANT_DIGITS = 2;
const PERCENT = 100;

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_SCALED_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    autoResize: false,
  });
}

/**
 * Computes quantiles over the last one to two windows, and the count and sum of all values since
 * the start. Quantiles since the start would still include a slow hour of the previous week.
 */
export class RollingHistogram {
  #count = 0;

  #sum = 0;

  #current = createHistogram();

  #previous = createHistogram();

  #windowStartMs: number;

  /**
   * @param clock - clock that determines when a window ends
   * @param windowMs - duration of a window in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {
    this.#windowStartMs = clock.nowMs();
  }

  /** Number of values recorded since the start. */
  get count(): number {
    return this.#count;
  }

  /** Sum of the values recorded since the start. */
  get sum(): number {
    return this.#sum;
  }

  /** @param value - the value, clamped to 0 to 86,400,000; ignored when it is not finite */
  record(value: number): void {
    if (!Number.isFinite(value)) return;
    this.#rotateWindows();
    const scaled = Math.min(Math.max(0, Math.round(value * SCALE)), MAX_SCALED_VALUE);
    this.#current.recordValue(scaled);
    this.#count += 1;
    this.#sum += Math.max(0, value);
  }

  /**
   * @param quantiles - quantiles between 0 and 1, such as 0.99
   * @returns the values in the order of `quantiles`; undefined when the windows hold no value
   */
  computeQuantiles(quantiles: readonly number[]): readonly number[] | undefined {
    this.#rotateWindows();
    const recent = createHistogram();
    recent.add(this.#previous);
    recent.add(this.#current);
    if (recent.totalCount === 0) return undefined;
    return quantiles.map((quantile) => recent.getValueAtPercentile(quantile * PERCENT) / SCALE);
  }

  #rotateWindows(): void {
    const elapsedMs = this.clock.nowMs() - this.#windowStartMs;
    if (elapsedMs < this.windowMs) return;
    const spare = this.#previous;
    this.#previous = this.#current;
    this.#current = spare;
    this.#current.reset();
    if (elapsedMs >= 2 * this.windowMs) this.#previous.reset();
    this.#windowStartMs = this.clock.nowMs();
  }
}
