/**
 * Bounds how often backend servers are checked.
 *
 * @module
 */
import type { Clock } from '../../ports/mod.js';

/** Maximum number of checks of all servers together in one interval. */
const MAX_CHECKS_PER_INTERVAL = 8;

/** Grants checks: one for each server and interval, and few for all servers together. */
export class CheckRate {
  readonly #clock: Clock;

  readonly #intervalMs: number;

  /** When servers were checked a moment ago, on the monotonic clock in milliseconds. */
  readonly #checkedAtMs = new Map<string, number>();

  /**
   * @param clock - provides monotonic time
   * @param intervalMs - shortest time between two checks of one server, in milliseconds
   */
  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
  }

  /** @param incarnationId - a server. @returns whether it may be checked now */
  mayTake(incarnationId: string): boolean {
    this.#forgetBefore(this.#clock.nowMs() - this.#intervalMs);
    const isRecent = this.#checkedAtMs.has(incarnationId);
    return !isRecent && this.#checkedAtMs.size < MAX_CHECKS_PER_INTERVAL;
  }

  /** @param incarnationId - a server that is checked now */
  take(incarnationId: string): void {
    this.#checkedAtMs.set(incarnationId, this.#clock.nowMs());
  }

  #forgetBefore(earliestMs: number): void {
    this.#checkedAtMs.forEach((atMs, id) => {
      if (atMs <= earliestMs) this.#checkedAtMs.delete(id);
    });
  }
}
