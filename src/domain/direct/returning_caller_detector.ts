/**
 * Detection of callers that return after a refusal.
 *
 * @module
 */
import { computeReturningThresholdMs } from './retry_after.js';

/**
 * Detects returning callers by their remaining time. A returning call carries nothing that
 * identifies the first one, but has less time left than first calls have.
 */
export class ReturningCallerDetector {
  /** Longest deadline seen, in milliseconds. */
  #longestDeadlineMs = 0;

  /**
   * @param deadlineMs - time that the caller waits
   * @returns whether the caller was probably refused before
   */
  isReturning(deadlineMs: number | undefined): boolean {
    if (deadlineMs === undefined) return false;
    this.#longestDeadlineMs = Math.max(this.#longestDeadlineMs, deadlineMs);
    return deadlineMs <= computeReturningThresholdMs(this.#longestDeadlineMs);
  }
}
