/**
 * Which callers have been refused before.
 *
 * @module
 */
import { computeReturnedTimeMs } from './return_time.js';

/**
 * Callers that come back repeat nothing that names their first call, but have less time
 * left than those that call for the first time.
 */
export class ReturningCallers {
  /** Longest deadline that callers gave, in milliseconds. */
  #longestMs = 0;

  /** @param deadlineMs - how long a caller waits. @returns whether it was told before to come back */
  isReturning(deadlineMs: number | undefined): boolean {
    if (deadlineMs === undefined) return false;
    this.#longestMs = Math.max(this.#longestMs, deadlineMs);
    return deadlineMs <= computeReturnedTimeMs(this.#longestMs);
  }
}
