/**
 * Calls that wait for a free slot of one service.
 *
 * @module
 */

/** What the order of waiting calls depends on. */
export interface WaitingCall {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Whether the caller was refused before and has come back as it was told. */
  readonly isReturning: boolean;
  /** Monotonic time in milliseconds. */
  readonly arrivedAtMs: number;
  /** Latest useful start on a backend server, on the monotonic clock. */
  readonly startByMs: number;
}

/**
 * Orders by rank, then callers that come back, then arrival. A caller that comes
 * back has used up its repeats; refused once more its work is lost, while a new
 * one can still be told when to return.
 */
export class WaitingLine<T extends WaitingCall> {
  readonly #calls: T[] = [];

  /** Calls that wait. */
  get size(): number {
    return this.#calls.length;
  }

  /** @param call - takes its place by the order */
  add(call: T): void {
    let index = this.#calls.length;
    while (index > 0 && compareCalls(call, this.#calls[index - 1] as T) < 0) index -= 1;
    this.#calls.splice(index, 0, call);
  }

  /** @param call - waits no more. @returns whether it did */
  remove(call: T): boolean {
    const index = this.#calls.indexOf(call);
    if (index < 0) return false;
    this.#calls.splice(index, 1);
    return true;
  }

  /** @returns the calls in their order */
  list(): readonly T[] {
    return this.#calls;
  }

  /** @param rank - a rank. @returns calls that go before a new one of that rank */
  countAhead(rank: number): number {
    return this.#calls.filter((call) => call.rank <= rank).length;
  }

  /** @param nowMs - monotonic time. @returns calls whose latest useful start has passed, taken out */
  takeExpired(nowMs: number): T[] {
    const expired = this.#calls.filter(({ startByMs }) => startByMs <= nowMs);
    expired.forEach((call) => this.remove(call));
    return expired;
  }
}

function compareCalls(a: WaitingCall, b: WaitingCall): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  if (a.isReturning !== b.isReturning) return a.isReturning ? -1 : 1;
  return a.arrivedAtMs - b.arrivedAtMs;
}
