/**
 * Positions of calls in a queue, by urgency.
 *
 * @module
 */
import { computeUrgency } from '../../domain/direct/mod.js';
import type { QueuedCall } from './service_queue_options.js';

/** Where a call stands in the queue of this host. */
export interface QueuePosition {
  /** Calls that go before it. */
  readonly ahead: number;
  /** Those of them that are equally urgent. */
  readonly equalAhead: number;
  /** All other calls that are equally urgent. */
  readonly equalCount: number;
  /** All other calls that are at least as urgent as it is once it is late. */
  readonly lateAhead: number;
}

/** Counts the waiting calls by urgency. */
export class QueuePositions {
  readonly #counts = new Map<number, number>();

  /** @param calls - waiting calls */
  constructor(calls: readonly QueuedCall[]) {
    calls.forEach((call) => this.#add(call, 1));
  }

  /** Numbers of calls by urgency. */
  get counts(): ReadonlyMap<number, number> {
    return this.#counts;
  }

  /** @param call - a call that no longer waits */
  remove(call: QueuedCall): void {
    this.#add(call, -1);
  }

  /**
   * @param call - a call
   * @param ahead - calls that go before it
   * @param isCounted - whether it is one of the counted calls
   * @returns its position
   */
  locate(call: QueuedCall, ahead: number, isCounted: boolean): QueuePosition {
    const urgency = computeUrgency(call);
    const lateUrgency = computeUrgency({ rank: call.rank, isLate: true });
    const self = isCounted ? 1 : 0;
    return {
      ahead,
      equalAhead: Math.max(0, ahead - this.#countUpTo(urgency - 1)),
      equalCount: (this.#counts.get(urgency) ?? 0) - self,
      lateAhead: this.#countUpTo(lateUrgency) - self,
    };
  }

  #countUpTo(urgency: number): number {
    let sum = 0;
    this.#counts.forEach((count, other) => {
      if (other <= urgency) sum += count;
    });
    return sum;
  }

  #add(call: QueuedCall, change: number): void {
    const urgency = computeUrgency(call);
    this.#counts.set(urgency, (this.#counts.get(urgency) ?? 0) + change);
  }
}
