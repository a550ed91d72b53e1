/**
 * A token bucket with a variable rate, whose level may become negative.
 *
 * @module
 */

const MS_PER_SECOND = 1000;

/** Tolerance in tokens, so that the rounding errors of many small refills don't refuse a take. */
const ROUNDING_TOLERANCE = 1e-9;

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Refill rate in tokens per second. */
  readonly rate: number;
  /** Maximum number of tokens that accumulate; the bucket starts full. */
  readonly capacity: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

/**
 * Admits `rate` tokens per second. A take may be larger than the capacity: it
 * requires a full bucket and leaves a negative level, so that a small share doesn't
 * refuse a long prompt forever and the rate is still kept over time.
 */
export class TokenBucket {
  #rate: number;

  #capacity: number;

  #level: number;

  #refilledAtMs: number;

  /** @param options - the rate, the capacity and the time */
  constructor(options: TokenBucketOptions) {
    this.#rate = options.rate;
    this.#capacity = options.capacity;
    this.#level = options.capacity;
    this.#refilledAtMs = options.nowMs;
  }

  /**
   * Changes the rate and the capacity. Tokens above the new capacity are discarded;
   * a larger capacity adds no tokens.
   *
   * @param rate - refill rate in tokens per second
   * @param capacity - maximum number of tokens that accumulate
   * @param nowMs - monotonic time in milliseconds
   */
  setRate(rate: number, capacity: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /**
   * Computes how long a take must wait.
   *
   * @param amount - number of tokens
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 if admitted now, infinite at rate 0
   */
  computeWaitMs(amount: number, nowMs: number): number {
    this.#refill(nowMs);
    const missing = Math.min(amount, this.#capacity) - this.#level;
    if (missing <= ROUNDING_TOLERANCE) return 0;
    return (missing / this.#rate) * MS_PER_SECOND;
  }

  /**
   * Takes tokens, even if the level becomes negative. Callers check
   * {@link TokenBucket.computeWaitMs} first.
   *
   * @param amount - number of tokens
   * @param nowMs - monotonic time in milliseconds
   */
  take(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level -= amount;
  }

  /**
   * Corrects an earlier take whose amount was an estimate.
   *
   * @param amount - number of tokens to return; negative if more were used
   * @param nowMs - monotonic time in milliseconds
   */
  settle(amount: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#level = Math.min(this.#capacity, this.#level + amount);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the bucket is full, as a new one would be
   */
  isFull(nowMs: number): boolean {
    this.#refill(nowMs);
    return this.#level >= this.#capacity - ROUNDING_TOLERANCE;
  }

  #refill(nowMs: number): void {
    if (nowMs <= this.#refilledAtMs) return;
    const refilled = (this.#rate * (nowMs - this.#refilledAtMs)) / MS_PER_SECOND;
    this.#level = Math.min(this.#capacity, this.#level + refilled);
    this.#refilledAtMs = nowMs;
  }
}
