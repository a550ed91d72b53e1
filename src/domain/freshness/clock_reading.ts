/**
 * Clock readings whose differences include suspensions of the machine.
 *
 * @module
 */

/** A simultaneous reading of both clocks of this machine. */
export interface ClockReading {
  /** Monotonic time in milliseconds; it stands still while the machine is suspended. */
  readonly steadyMs: number;
  /** Wall-clock time in milliseconds; it may be stepped forward or backward. */
  readonly wallMs: number;
}

/**
 * Computes how much time passed between two clock readings.
 *
 * The monotonic clock doesn't count a suspension of the machine, so a key that was
 * revoked meanwhile would still look freshly confirmed after the resume. The wall
 * clock does count it, but may be stepped backward. The larger of both differences
 * is used: a forward step of the wall clock makes information look older than it is,
 * which costs a refused request, but never makes it look younger.
 *
 * @param from - the earlier reading
 * @param to - the later reading
 * @returns elapsed time in milliseconds, 0 or more
 */
export function computeElapsedMs(from: ClockReading, to: ClockReading): number {
  return Math.max(0, to.steadyMs - from.steadyMs, to.wallMs - from.wallMs);
}
