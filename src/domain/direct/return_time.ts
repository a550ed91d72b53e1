/**
 * When a refused caller should come back.
 *
 * @module
 */

/**
 * Part of the time left that the advice may take. Callers follow advice up to a
 * third of it; later advice would be cut to that by all of them alike, and they
 * would return together.
 */
const MAX_PART_OF_TIME_LEFT = 0.32;

/** The advice is spread evenly over this upper part of its length, so that callers don't return together. */
const SPREAD_PART = 0.5;

/** Shortest advice, in milliseconds: a round trip and a moment in which slots get free. */
const MIN_RETURN_MS = 60;

/** Longest advice, in milliseconds; bursts seldom last longer than two of these. */
const MAX_RETURN_MS = 2_500;

/**
 * Computes the advice.
 *
 * @param clearMs - measured time until there may be room, in milliseconds
 * @param timeLeftMs - time that the caller still waits for an answer, in milliseconds
 * @param fraction - a random number in [0, 1)
 * @returns milliseconds
 */
export function computeReturnMs(clearMs: number, timeLeftMs: number, fraction: number): number {
  const longestMs = Math.min(MAX_RETURN_MS, timeLeftMs * MAX_PART_OF_TIME_LEFT);
  const wantedMs = Math.max(MIN_RETURN_MS, clearMs / (1 - SPREAD_PART / 2));
  const spreadMs = Math.min(wantedMs, longestMs);
  return spreadMs * (1 - SPREAD_PART * fraction);
}
