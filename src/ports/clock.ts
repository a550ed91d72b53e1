/**
 * Defines the clock and the timers that the application uses.
 *
 * @module
 */

/** A one-shot timer that can be cancelled. */
export interface Timer {
  /** Cancels the timer; has no effect after it has fired. */
  cancel(): void;
}

/** Source of time and timers. Tests use a virtual clock. */
export abstract class Clock {
  /** @returns monotonic time in milliseconds since an arbitrary origin */
  abstract nowMs(): number;

  /** @returns wall-clock time in milliseconds since the Unix epoch */
  abstract wallMs(): number;

  /**
   * Calls a function once after a delay.
   *
   * @param delayMs - delay in milliseconds
   * @param callback - the function to call
   * @returns the timer
   */
  abstract setTimer(delayMs: number, callback: () => void): Timer;
}
