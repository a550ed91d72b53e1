/**
 * Work that is done again and again.
 *
 * @module
 */
import type { Clock, Timer } from '../../ports/mod.js';

/** Runs callbacks at intervals until it is stopped. */
export class RepeatedTimers {
  readonly #clock: Clock;

  readonly #timers = new Map<() => void, Timer>();

  /** @param clock - source of the timers */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param everyMs - interval in milliseconds
   * @param run - what to call
   */
  start(everyMs: number, run: () => void): void {
    const timer = this.#clock.setTimer(everyMs, () => {
      this.start(everyMs, run);
      run();
    });
    this.#timers.set(run, timer);
  }

  /** Stops all of them. */
  stop(): void {
    this.#timers.forEach((timer) => timer.cancel());
    this.#timers.clear();
  }
}
