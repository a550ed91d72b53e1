/**
 * This entry host's share of a service's retry budget.
 *
 * @module
 */

/** Published limits on a service's retries, for all entry hosts together. */
export interface RetryBounds {
  /** Allowed retries per first attempt. */
  readonly ratio: number;
  /** Additional retries allowed in one window. */
  readonly slack: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}

/** Number of slices per window; the oldest slice is dropped as time advances. */
const SLICE_COUNT = 10;

/**
 * Fraction of each limit that is used. The rest covers entry hosts that restart within a window
 * and forget what they sent, and shares that change within a window.
 */
const USED_FRACTION = 0.6;

/** Whether a retry is granted, and the counts in the window that decided it. */
export interface RetryDecision {
  readonly isGranted: boolean;
  /** First attempts of this entry host in the window. */
  readonly attempts: number;
  /** Retries of this entry host in the window, without the one decided on. */
  readonly retries: number;
  /** Number of entry hosts among which the additional retries are divided. */
  readonly entryHostCount: number;
}

interface Slice {
  index: number;
  attempts: number;
  retries: number;
}

/**
 * Counts first attempts and retries of one service in a sliding window. Each entry host applies
 * the ratio to its own attempts and takes an equal share of the slack, so that all hosts together
 * keep the limits without exchanging messages.
 */
export class RetryBudgetShare {
  readonly #bounds: RetryBounds;

  readonly #slices: Slice[] = [];

  /** @param bounds - limits for all entry hosts together */
  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** @param nowMs - monotonic time at which a first attempt is made */
  recordAttempt(nowMs: number): void {
    this.#getCurrentSlice(nowMs).attempts += 1;
  }

  /**
   * Takes one retry from the share.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param entryHostCount - number of entry hosts that share the slack
   * @returns the decision; not granted if the share is used up
   */
  takeRetry(nowMs: number, entryHostCount: number): RetryDecision {
    const current = this.#getCurrentSlice(nowMs);
    const attempts = this.#slices.reduce((sum, slice) => sum + slice.attempts, 0);
    const retries = this.#slices.reduce((sum, slice) => sum + slice.retries, 0);
    const { ratio, slack } = this.#bounds;
    const allowed = USED_FRACTION * (ratio * attempts + slack / Math.max(1, entryHostCount));
    const isGranted = retries + 1 <= allowed;
    if (isGranted) current.retries += 1;
    return { isGranted, attempts, retries, entryHostCount };
  }

  #getCurrentSlice(nowMs: number): Slice {
    const index = Math.floor((nowMs / this.#bounds.windowMs) * SLICE_COUNT);
    while (this.#slices[0] && this.#slices[0].index < index - SLICE_COUNT) this.#slices.shift();
    const last = this.#slices[this.#slices.length - 1];
    if (last && last.index >= index) return last;
    const slice = { index, attempts: 0, retries: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
