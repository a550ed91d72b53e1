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
const SPREAD_PART = 0.4;

/** Shortest advice, in milliseconds: a round trip and a moment in which slots get free. */
const MIN_RETURN_MS = 60;

/** Longest advice, in milliseconds: bursts of callers last some seconds. */
const MAX_RETURN_MS = 4_000;

/** What the advice depends on. */
export interface ReturnOptions {
  /** Measured time until there may be room, in milliseconds. */
  readonly clearMs: number;
  /** Time that the caller still waits for an answer, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time within which the answer would still be in time, in milliseconds; 0 or less: none. */
  readonly aimLeftMs: number;
  /** A random number in [0, 1). */
  readonly fraction: number;
}

/**
 * Computes the advice. A caller that can still be answered in time is asked back as
 * soon as there may be room. For all others a moment more costs nothing, and one
 * that returns into the same crowd is refused again, for good: they are asked to
 * come back as late as they will follow.
 *
 * @param options - the caller's times and the measured wait
 * @returns milliseconds
 */
export function computeReturnMs(options: ReturnOptions): number {
  const { clearMs, timeLeftMs, aimLeftMs, fraction } = options;
  const longestMs = computeLongestMs(timeLeftMs);
  const soonMs = Math.max(MIN_RETURN_MS, clearMs);
  const wantedMs = soonMs < aimLeftMs ? Math.min(soonMs, longestMs) : longestMs;
  return wantedMs * (1 - SPREAD_PART * fraction);
}

/**
 * Computes the most time that a caller can have left who comes back when it can't be
 * answered in time any more. Callers' patience differs, and a shorter time alone doesn't
 * show that one was refused before: with first calls that had 85 to 100 in 100 of the
 * longest time, all below 98.5 taken for returning ones, nine in ten first calls were
 * served behind those that were late already.
 *
 * @param longestTimeMs - longest time that callers of the route were seen to have
 * @returns milliseconds; first calls have more, as long as they are this patient
 */
export function computeReturnedTimeMs(longestTimeMs: number): number {
  return longestTimeMs - computeLongestMs(longestTimeMs) * (1 - SPREAD_PART);
}

function computeLongestMs(timeLeftMs: number): number {
  return Math.min(MAX_RETURN_MS, timeLeftMs * MAX_PART_OF_TIME_LEFT);
}
