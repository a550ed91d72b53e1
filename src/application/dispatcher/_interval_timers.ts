/**
 * Timers that repeat at fixed intervals.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';

/** Runs callbacks at fixed intervals until it is stopped. */
export class IntervalTimers {
  readonly #clock: Clock;

  readonly #timers = new Map<() => void, Timer>();

  /** @param clock - source of the timers */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param intervalMs - interval in milliseconds
   * @param callback - called at each interval
   */
  start(intervalMs: number, callback: () => void): void {
    const timer = this.#clock.setTimer(intervalMs, () => {
      this.start(intervalMs, callback);
      callback();
    });
    this.#timers.set(callback, timer);
  }

  /** Stops all timers. */
  stop(): void {
    this.#timers.forEach((timer) => timer.cancel());
    this.#timers.clear();
  }
}
