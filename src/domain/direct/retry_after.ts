/**
 * Retry-after times for refused callers.
 *
 * @module
 */

/**
 * Shortest retry-after time, in milliseconds: about the time for a new connection to another entry
 * host and for a request on it.
 */
export const MIN_RETRY_AFTER_MS = 50;

/**
 * Part of the wait over which callers return after it. Those that were refused during the wait
 * return at twice the rate at which they came, not all at once.
 */
const SPREAD_FRACTION = 0.5;

/**
 * Computes the retry-after time: a caller is asked back when room is expected. One that returned
 * before would be refused again.
 *
 * @param waitMs - time until room is expected, in milliseconds
 * @param randomFraction - a random number in [0, 1)
 * @returns the retry-after time in milliseconds
 */
export function computeDirectRetryAfterMs(waitMs: number, randomFraction: number): number {
  const roomMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
  return roomMs * (1 + SPREAD_FRACTION * randomFraction);
}
