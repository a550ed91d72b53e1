/**
 * Moments that survive a suspension of the process.
 *
 * @module
 */

/** One moment on both clocks of this machine. */
export interface Moment {
  /** Monotonic time in milliseconds; it stands still while the process is suspended. */
  readonly steadyMs: number;
  /** Wall-clock time in milliseconds; it may be stepped in either direction. */
  readonly wallMs: number;
}

/**
 * Computes how much time passed between two moments.
 *
 * A suspended machine's monotonic clock doesn't count the suspension, so a key
 * that was taken away meanwhile would still look freshly confirmed after the wake.
 * The wall clock does count it, but may be stepped back. Of the two the larger
 * is taken: a step forward makes knowledge look older than it is, which costs a
 * refusal, and never younger.
 *
 * @param from - the earlier moment
 * @param to - the later moment
 * @returns elapsed time in milliseconds, 0 or more
 */
export function computeElapsedMs(from: Moment, to: Moment): number {
  return Math.max(0, to.steadyMs - from.steadyMs, to.wallMs - from.wallMs);
}
