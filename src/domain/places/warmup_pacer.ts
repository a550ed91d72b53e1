/**
 * Rate limit of one entry host for one backend server that is warming up.
 *
 * @module
 */

/** Tracks until when a server is cold and when this entry host may send to it next. */
export class WarmupPacer {
  #coldUntilMs = Number.NEGATIVE_INFINITY;

  #intervalMs = Infinity;

  #sentAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param coldUntilMs - when the server will be warm, on the monotonic clock
   * @param intervalMs - shortest time between two requests of this entry host until then;
   *   Infinity if it may send none
   */
  configure(coldUntilMs: number, intervalMs: number): void {
    this.#coldUntilMs = coldUntilMs;
    this.#intervalMs = intervalMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether the server is warming up */
  isCold(nowMs: number): boolean {
    return nowMs < this.#coldUntilMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether a request may be sent now */
  maySend(nowMs: number): boolean {
    if (!this.isCold(nowMs)) return true;
    return this.#intervalMs < Infinity && nowMs - this.#sentAtMs >= this.#intervalMs;
  }

  /** @param nowMs - monotonic time at which a request is sent */
  recordSent(nowMs: number): void {
    this.#sentAtMs = nowMs;
  }
}
