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
const SLICE_COUNT = 20;

/**
 * Number of slices for which retries count. The slice beyond the window covers the time that a
 * retry takes to arrive.
 */
const RETRY_SLICE_COUNT = SLICE_COUNT + 1;

/**
 * Fraction of the ratio that is used. A window may contain retries for first attempts of two
 * windows: its own, and the one before it at hosts that have ended or lost their callers since.
 */
const USED_RATIO_FRACTION = 0.5;

/**
 * Fraction of the slack that is used. Two sets of entry hosts that have never heard of each other
 * each take all of it.
 */
const USED_SLACK_FRACTION = 0.4;

/** Whether a retry is granted, and the counts in the window that decided it. */
export interface RetryDecision {
  readonly isGranted: boolean;
  /** First attempts of this entry host in the window. */
  readonly attempts: number;
  /** Retries of this entry host, sent in the window or still to be sent. */
  readonly retries: number;
  /** Retries that this entry host is granted in the window beside those for its attempts. */
  readonly slackShare: number;
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
 *
 * What a host takes depends on its own attempts alone, but for the slack. So it withholds the
 * slack for a window after its start, since its former process may have just used it, and then
 * divides it by the largest number of hosts that it has known: a host that has just started, or
 * that is cut off, knows few.
 */
export class RetryBudgetShare {
  readonly #bounds: RetryBounds;

  readonly #slices: Slice[] = [];

  readonly #startedAtMs: number;

  #largestHostCount = 1;

  /** Number of retries that are granted and not sent yet. */
  #pendingRetries = 0;

  /**
   * @param bounds - limits for all entry hosts together
   * @param startedAtMs - when this process started, on the monotonic clock in milliseconds
   */
  constructor(bounds: RetryBounds, startedAtMs: number) {
    this.#bounds = bounds;
    this.#startedAtMs = startedAtMs;
  }

  /** @param nowMs - monotonic time at which a first attempt is known, or taken, to have arrived */
  recordAttempt(nowMs: number): void {
    this.#getCurrentSlice(nowMs).attempts += 1;
  }

  /**
   * Takes one retry from the share. It counts until it is given back, or for a window from the
   * moment at which it is sent.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param entryHostCount - number of entry hosts that are known to share the slack
   * @returns the decision; not granted if the share is used up
   */
  takeRetry(nowMs: number, entryHostCount: number): RetryDecision {
    const { index } = this.#getCurrentSlice(nowMs);
    this.#largestHostCount = Math.max(this.#largestHostCount, entryHostCount);
    const attempts = this.#countAttempts(index);
    const sentRetries = this.#slices.reduce((sum, slice) => sum + slice.retries, 0);
    const retries = sentRetries + this.#pendingRetries;
    const slackShare = this.#computeSlackShare(nowMs);
    const allowed = USED_RATIO_FRACTION * this.#bounds.ratio * attempts + slackShare;
    const isGranted = retries + 1 <= allowed;
    if (isGranted) this.#pendingRetries += 1;
    return { isGranted, attempts, retries, slackShare };
  }

  /** @param nowMs - monotonic time at which a granted retry is sent */
  recordRetrySent(nowMs: number): void {
    this.releaseRetry();
    this.#getCurrentSlice(nowMs).retries += 1;
  }

  /** Gives back a granted retry that is not sent. */
  releaseRetry(): void {
    this.#pendingRetries -= 1;
  }

  #computeSlackShare(nowMs: number): number {
    const { slack, windowMs } = this.#bounds;
    const isNew = nowMs - this.#startedAtMs < windowMs;
    return isNew ? 0 : (USED_SLACK_FRACTION * slack) / this.#largestHostCount;
  }

  /** Counts the attempts of at most one window, while retries count for at least one window. */
  #countAttempts(currentIndex: number): number {
    return this.#slices
      .filter(({ index }) => index > currentIndex - SLICE_COUNT)
      .reduce((sum, { attempts }) => sum + attempts, 0);
  }

  #getCurrentSlice(nowMs: number): Slice {
    const index = Math.floor((nowMs / this.#bounds.windowMs) * SLICE_COUNT);
    const oldestIndex = index - RETRY_SLICE_COUNT;
    while (this.#slices[0] && this.#slices[0].index < oldestIndex) this.#slices.shift();
    const last = this.#slices[this.#slices.length - 1];
    if (last && last.index >= index) return last;
    const slice = { index, attempts: 0, retries: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
