/**
 * Callers that were rejected with a time to return.
 *
 * @module
 */

/** Length of a time slice over which returns are added up, in milliseconds. */
const SLICE_MS = 100;

/** Largest number of slices that are kept: more than the longest time to return. */
const MAX_SLICES = 64;

interface Slice {
  readonly startsAtMs: number;
  /** Returning callers by urgency. */
  readonly counts: Map<number, number>;
}

/** Counts the callers that are expected to return. */
export class ReturningDemand {
  /** Slices with returns, in the order of their time. */
  readonly #slices: Slice[] = [];

  /**
   * @param urgency - urgency that the call has on its return
   * @param returnsAtMs - when it returns, on the monotonic clock in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  record(urgency: number, returnsAtMs: number, nowMs: number): void {
    this.#dropPast(nowMs);
    const startsAtMs = Math.floor(returnsAtMs / SLICE_MS) * SLICE_MS;
    const slice = this.#findOrInsert(startsAtMs);
    slice?.counts.set(urgency, (slice.counts.get(urgency) ?? 0) + 1);
  }

  /**
   * @param urgency - an urgency
   * @param nowMs - monotonic time in milliseconds
   * @param untilMs - end of the time of interest, on the monotonic clock
   * @returns callers of at least that urgency that return until then
   */
  count(urgency: number, nowMs: number, untilMs: number): number {
    this.#dropPast(nowMs);
    const due = this.#slices.filter(({ startsAtMs }) => startsAtMs + SLICE_MS <= untilMs);
    return due.reduce((sum, { counts }) => sum + countUpTo(counts, urgency), 0);
  }

  #findOrInsert(startsAtMs: number): Slice | undefined {
    const next = this.#slices.findIndex((slice) => slice.startsAtMs >= startsAtMs);
    const position = next < 0 ? this.#slices.length : next;
    const found = this.#slices[position];
    if (found?.startsAtMs === startsAtMs) return found;
    if (this.#slices.length >= MAX_SLICES) return undefined;
    const slice = { startsAtMs, counts: new Map<number, number>() };
    this.#slices.splice(position, 0, slice);
    return slice;
  }

  #dropPast(nowMs: number): void {
    while ((this.#slices[0]?.startsAtMs ?? Infinity) + SLICE_MS <= nowMs) this.#slices.shift();
  }
}

function countUpTo(counts: ReadonlyMap<number, number>, urgency: number): number {
  let sum = 0;
  counts.forEach((callers, other) => {
    if (other <= urgency) sum += callers;
  });
  return sum;
}
