/**
 * How long the callers of a stream wait for its first event.
 *
 * @module
 */

/** Time without an event for which every caller of a stream waits, in milliseconds. */
const CALLER_SILENCE_MS = 2_000;

/**
 * Computes how long a stream may wait for a slot without its caller leaving.
 *
 * @param firstByteMs - time that a server takes to begin the answer, in milliseconds
 * @returns milliseconds; Infinity if the server alone takes longer than all callers wait for: those
 *   who send such prompts must wait longer
 */
export function computeMaxSilentWaitMs(firstByteMs: number): number {
  return firstByteMs < CALLER_SILENCE_MS ? CALLER_SILENCE_MS - firstByteMs : Infinity;
}
