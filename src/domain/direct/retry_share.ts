/**
 * This entry host's share of the retries that a service may be given.
 *
 * @module
 */

/** Published bounds on retries, over all entry hosts. */
export interface RetryBounds {
  /** Retries for each first attempt. */
  readonly ratio: number;
  /** Retries beside those, in one window. */
  readonly slack: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}

/** Parts of a window that are counted apart; the oldest falls out as time goes on. */
const SLICES = 10;

/**
 * Part of each bound that is used. The rest covers entry hosts that restart inside
 * a window and no longer know what they sent, and shares that change meanwhile.
 */
const USED_PART = 0.6;

interface Slice {
  index: number;
  attempts: number;
  retries: number;
}

/**
 * Counts first attempts and retries of one service over a sliding window. Each
 * entry host keeps the ratio over its own attempts and takes an equal share of the
 * slack, so all together keep the bound without a message.
 */
export class RetryShare {
  readonly #bounds: RetryBounds;

  readonly #slices: Slice[] = [];

  /** @param bounds - bounds over all entry hosts */
  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** @param nowMs - monotonic time at which a first attempt is made */
  noteAttempt(nowMs: number): void {
    this.#takeSlice(nowMs).attempts += 1;
  }

  /**
   * Takes one retry.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param entryHostCount - entry hosts that share the slack
   * @returns false when the share is spent
   */
  takeRetry(nowMs: number, entryHostCount: number): boolean {
    const current = this.#takeSlice(nowMs);
    const attempts = this.#slices.reduce((sum, slice) => sum + slice.attempts, 0);
    const retries = this.#slices.reduce((sum, slice) => sum + slice.retries, 0);
    const { ratio, slack } = this.#bounds;
    const allowed = USED_PART * (ratio * attempts + slack / Math.max(1, entryHostCount));
    if (retries + 1 > allowed) return false;
    current.retries += 1;
    return true;
  }

  #takeSlice(nowMs: number): Slice {
    const index = Math.floor((nowMs / this.#bounds.windowMs) * SLICES);
    while (this.#slices[0] && this.#slices[0].index < index - SLICES) this.#slices.shift();
    const last = this.#slices[this.#slices.length - 1];
    if (last && last.index >= index) return last;
    const slice = { index, attempts: 0, retries: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
