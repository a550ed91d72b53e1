/**
 * A budget for retries, so that a service in trouble is not given its load
 * several times over.
 *
 * @module
 */

/** Retries that each first attempt pays for. */
const RETRY_RATIO = 0.2;

/** Most retries that can be saved up. */
const MAX_SAVED_RETRIES = 20;

/** Retries that a quiet service regains each second, so that its rare retry isn't refused. */
const IDLE_RETRIES_PER_SECOND = 1;

/** Token bucket for retries, filled in proportion to first attempts. */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES / 2;

  #refilledAtMs: number;

  /** @param nowMs - monotonic time in milliseconds */
  constructor(nowMs: number) {
    this.#refilledAtMs = nowMs;
  }

  /** Retries that may be made now. */
  get saved(): number {
    return this.#saved;
  }

  /** Notes a first attempt. */
  noteAttempt(): void {
    this.#add(RETRY_RATIO);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns false when the budget is spent; nothing may be retried then
   */
  takeRetry(nowMs: number): boolean {
    const idleSeconds = Math.max(0, nowMs - this.#refilledAtMs) / 1000;
    this.#refilledAtMs = nowMs;
    this.#add(idleSeconds * IDLE_RETRIES_PER_SECOND);
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }

  #add(retries: number): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + retries);
  }
}
