/**
 * Time, as the application sees it.
 *
 * @module
 */

/** A timer that can be taken back. */
export interface Timer {
  /** Takes the timer back; harmless after it has fired. */
  cancel(): void;
}

/** Source of time and timers. Tests use a virtual one. */
export abstract class Clock {
  /** @returns monotonic time in milliseconds; its origin has no meaning */
  abstract nowMs(): number;

  /** @returns wall-clock time in milliseconds since the Unix epoch */
  abstract wallMs(): number;

  /**
   * Calls back once after a delay.
   *
   * @param delayMs - delay in milliseconds
   * @param callback - what to call
   * @returns the timer
   */
  abstract setTimer(delayMs: number, callback: () => void): Timer;
}
