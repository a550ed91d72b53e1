/**
 * Average time for which a slot is held.
 *
 * @module
 */

/** Weight of each sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Initial value of the average, in milliseconds: about the duration of a short answer. */
const INITIAL_MS = 200;

/** A moving average of the times for which slots of one service are held. */
export class HoldTimeAverage {
  #averageMs = INITIAL_MS;

  /** The average, in milliseconds. */
  get averageMs(): number {
    return this.#averageMs;
  }

  /** @param heldMs - time for which a request held its slot, in milliseconds */
  record(heldMs: number): void {
    this.#averageMs += SAMPLE_WEIGHT * (heldMs - this.#averageMs);
  }
}
