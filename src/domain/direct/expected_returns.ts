/**
 * Calls that were refused and asked back.
 *
 * @module
 */

interface ExpectedReturn {
  readonly rank: number;
  /** On the monotonic clock, in milliseconds. */
  readonly dueAtMs: number;
}

/** Remembers refused calls until the times at which they were asked back. */
export class ExpectedReturns {
  #returns: ExpectedReturn[] = [];

  /**
   * @param rank - rank of a refused call
   * @param dueAtMs - when it is asked back, on the monotonic clock in milliseconds
   */
  add(rank: number, dueAtMs: number): void {
    this.#returns.push({ rank, dueAtMs });
  }

  /**
   * @param rank - rank of a call
   * @param nowMs - monotonic time in milliseconds
   * @returns calls still to return that go before it, as they are of its rank or a more urgent one
   */
  count(rank: number, nowMs: number): number {
    this.#returns = this.#returns.filter(({ dueAtMs }) => dueAtMs > nowMs);
    return this.#returns.filter((other) => other.rank <= rank).length;
  }
}
