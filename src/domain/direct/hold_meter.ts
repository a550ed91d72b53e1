/**
 * Average time for which calls hold their slots, measured while calls wait.
 *
 * @module
 */

/** Time constant with which old measurements lose their weight, in milliseconds. */
const MEMORY_MS = 5_000;

/** Longest time between two samples that counts as measured, in milliseconds. */
const MAX_GAP_MS = 200;

/** Number of ended calls that the average of earlier calls counts for. */
const PRIOR_ENDS = 1;

/**
 * Divides the time that calls have spent in slots by the number of those that ended. Unlike a mean
 * over ended calls, it rises at once when calls no longer end.
 */
export class HoldMeter {
  #slotMs = 0;

  #ends = 0;

  #sampledAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param inFlight - calls of this host that hold a slot now
   * @param nowMs - monotonic time in milliseconds
   */
  sample(inFlight: number, nowMs: number): void {
    const sinceMs = nowMs - this.#sampledAtMs;
    this.#sampledAtMs = nowMs;
    const kept = Math.exp(-sinceMs / MEMORY_MS);
    this.#slotMs *= kept;
    this.#ends *= kept;
    if (sinceMs <= MAX_GAP_MS) this.#slotMs += inFlight * sinceMs;
  }

  /** @param nowMs - monotonic time at which a call gave its slot back */
  recordEnd(nowMs: number): void {
    if (nowMs - this.#sampledAtMs <= MAX_GAP_MS) this.#ends += 1;
  }

  /**
   * @param earlierMs - average hold of earlier calls, in milliseconds
   * @returns average hold in milliseconds
   */
  computeAverageMs(earlierMs: number): number {
    return (this.#slotMs + earlierMs * PRIOR_ENDS) / (this.#ends + PRIOR_ENDS);
  }
}
