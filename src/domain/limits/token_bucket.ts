/**
 * A token bucket whose rate may change and whose level may go below zero.
 *
 * @module
 */

const MS_PER_SECOND = 1000;

/** Rounding of many small refills must not refuse a whole token. */
const TOLERANCE = 1e-9;

/** How a bucket starts. */
export interface TokenBucketOptions {
  /** Tokens a second. */
  readonly rate: number;
  /** Most tokens that gather; the bucket starts full. */
  readonly capacity: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

/**
 * Admits `rate` tokens a second. One take may be larger than the capacity: it
 * needs a full bucket and leaves a debt, so that a long prompt is not refused
 * for ever by a small share and yet the rate holds over time.
 */
export class TokenBucket {
  #rate: number;

  #capacity: number;

  #level: number;

  #filledAtMs: number;

  /** @param options - how it starts */
  constructor(options: TokenBucketOptions) {
    this.#rate = options.rate;
    this.#capacity = options.capacity;
    this.#level = options.capacity;
    this.#filledAtMs = options.nowMs;
  }

  /**
   * Changes rate and capacity from now on. What has gathered beyond the new
   * capacity is lost; a larger capacity starts no fuller.
   *
   * @param rate - tokens a second
   * @param capacity - most tokens that gather
   * @param nowMs - monotonic time in milliseconds
   */
  setRate(rate: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /**
   * Computes how long a take has to wait.
   *
   * @param amount - how many tokens
   * @param nowMs - monotonic time in milliseconds
   * @returns 0 when it is admitted now; milliseconds otherwise, infinite at rate 0
   */
  computeWaitMs(amount: number, nowMs: number): number {
    this.#refill(nowMs);
    const lacking = Math.min(amount, this.#capacity) - this.#level;
    if (lacking <= TOLERANCE) return 0;
    return (lacking / this.#rate) * MS_PER_SECOND;
  }

  /**
   * Takes tokens, into debt if need be; ask {@link TokenBucket.computeWaitMs} first.
   *
   * @param amount - how many tokens
   * @param nowMs - monotonic time in milliseconds
   */
  take(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level -= amount;
  }

  /**
   * Corrects an earlier take that was a prediction.
   *
   * @param amount - tokens that come back; negative: more were used
   * @param nowMs - monotonic time in milliseconds
   */
  settle(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level = Math.min(this.#capacity, this.#level + amount);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a new bucket would be no fuller
   */
  isFull(nowMs: number): boolean {
    this.#refill(nowMs);
    return this.#level >= this.#capacity - TOLERANCE;
  }

  #refill(nowMs: number): void {
    if (nowMs <= this.#filledAtMs) return;
    const gained = (this.#rate * (nowMs - this.#filledAtMs)) / MS_PER_SECOND;
    this.#level = Math.min(this.#capacity, this.#level + gained);
    this.#filledAtMs = nowMs;
  }
}
