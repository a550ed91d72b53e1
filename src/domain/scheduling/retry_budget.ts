/**
 * Limits retries, so that a failing service does not receive a multiple of its
 * load.
 *
 * @module
 */

/** Retries that each first attempt adds to the budget. */
const RETRY_RATIO = 0.2;

/** Most retries that the budget can hold. */
const MAX_AVAILABLE_RETRIES = 20;

/**
 * Retries that the budget regains each second, so that a service with little
 * traffic can retry.
 */
const IDLE_RETRIES_PER_SECOND = 1;

/** Token bucket for retries, refilled in proportion to first attempts. */
export class RetryBudget {
  #available = MAX_AVAILABLE_RETRIES / 2;

  #refilledAtMs: number;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs;
  }

  /** Number of retries available now. */
  get available(): number {
    return this.#available;
  }

  /** Records a first attempt. */
  recordAttempt(): void {
    this.#add(RETRY_RATIO);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns false if the budget is exhausted and the request must not be
   *   retried
   */
  takeRetry(nowMs: number): boolean {
    const idleSeconds = Math.max(0, nowMs - this.#refilledAtMs) / 1000;
    this.#refilledAtMs = nowMs;
    this.#add(idleSeconds * IDLE_RETRIES_PER_SECOND);
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }

  #add(retries: number): void {
    this.#available = Math.min(MAX_AVAILABLE_RETRIES, this.#available + retries);
  }
}
