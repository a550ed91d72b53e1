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
  const longestMs = Math.min(MAX_RETURN_MS, timeLeftMs * MAX_PART_OF_TIME_LEFT);
  const soonMs = Math.max(MIN_RETURN_MS, clearMs);
  const wantedMs = soonMs < aimLeftMs ? Math.min(soonMs, longestMs) : longestMs;
  return wantedMs * (1 - SPREAD_PART * fraction);
}
