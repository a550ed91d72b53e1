/**
 * How fast one entry host may fill one backend server that warms up.
 *
 * @module
 */

/** Until when a server is cold, and when this entry host may send there next. */
export class WarmupPace {
  #coldUntilMs = Number.NEGATIVE_INFINITY;

  #intervalMs = Infinity;

  #sentAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param coldUntilMs - when the server is warm, on the monotonic clock
   * @param intervalMs - shortest time between two requests of this entry host until then;
   *   Infinity: none may be sent
   */
  set(coldUntilMs: number, intervalMs: number): void {
    this.#coldUntilMs = coldUntilMs;
    this.#intervalMs = intervalMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether the server warms up */
  isCold(nowMs: number): boolean {
    return nowMs < this.#coldUntilMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether a request may be sent there */
  maySend(nowMs: number): boolean {
    if (!this.isCold(nowMs)) return true;
    return this.#intervalMs < Infinity && nowMs - this.#sentAtMs >= this.#intervalMs;
  }

  /** @param nowMs - when a request is sent there */
  noteSent(nowMs: number): void {
    this.#sentAtMs = nowMs;
  }
}
