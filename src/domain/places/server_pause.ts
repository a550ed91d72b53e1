/**
 * A pause that a server without room asked one entry host for, and the careful start after it.
 *
 * @module
 */

/**
 * Time in which all entry hosts together fill a server's slots once after a pause, in milliseconds:
 * longer than reports take to tell each of them of the others' requests.
 */
const FILL_MS = 250;

/** Shortest time between two steps of the start, in milliseconds. */
const MIN_STEP_MS = 250;

/** Interval below which requests are sent as usual, in milliseconds. */
const LAST_INTERVAL_MS = 10;

/**
 * Computes the time between the first requests of one host after a pause.
 *
 * @param hostCount - number of entry hosts
 * @param slots - slots of the server
 * @returns milliseconds
 */
export function computeFirstIntervalMs(hostCount: number, slots: number): number {
  return Math.max(FILL_MS, (hostCount * FILL_MS) / slots);
}

/** Tracks when one entry host may send to a server again. */
export class ServerPause {
  #untilMs = Number.NEGATIVE_INFINITY;

  /** Shortest time between two requests after the pause; 0 once it is over for good. */
  #intervalMs = 0;

  #sentAtMs = Number.NEGATIVE_INFINITY;

  #steppedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Begins a pause, or makes it longer.
   *
   * @param untilMs - its end, on the monotonic clock; an earlier end changes nothing
   * @param firstIntervalMs - time between the first requests after it, halved step by step
   */
  begin(untilMs: number, firstIntervalMs: number): void {
    if (untilMs <= this.#untilMs) return;
    this.#untilMs = untilMs;
    this.#intervalMs = firstIntervalMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether the start is not over yet */
  isActive(nowMs: number): boolean {
    return nowMs < this.#untilMs || this.#intervalMs > 0;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether a request may be sent now */
  maySend(nowMs: number): boolean {
    return nowMs >= this.#untilMs && nowMs - this.#sentAtMs >= this.#intervalMs;
  }

  /** @param nowMs - monotonic time. @returns time left of the pause, in milliseconds */
  computeLeftMs(nowMs: number): number {
    return Math.max(0, this.#untilMs - nowMs);
  }

  /** @param nowMs - monotonic time at which a request is sent */
  recordSent(nowMs: number): void {
    this.#sentAtMs = nowMs;
  }

  /** @param nowMs - monotonic time at which the server has begun to answer a request */
  recordAnswered(nowMs: number): void {
    if (nowMs < this.#untilMs || nowMs - this.#steppedAtMs < MIN_STEP_MS) return;
    this.#steppedAtMs = nowMs;
    const halvedMs = this.#intervalMs / 2;
    this.#intervalMs = halvedMs < LAST_INTERVAL_MS ? 0 : halvedMs;
  }
}
