/**
 * Queue of the calls that wait for a free slot of one service.
 *
 * @module
 */

import { AccountFlows } from './_account_flows.js';
import type { FairOrder, FlowCall } from './_account_flows.js';

/**
 * Time for which a computed order is used again, in milliseconds, unless a call or the usage of this
 * host changes. One decision about a call needs the order several times.
 */
const MAX_ORDER_AGE_MS = 2;

/**
 * By how much an account with less than its fair share goes first among hosts, as a part of the
 * difference between two ranks.
 */
const BELOW_SHARE_LEAD = 0.5;

/** Properties of a waiting call that determine its position in the queue. */
export interface WaitingCall extends FlowCall {
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
}

/** An order that was computed. */
interface ComputedOrder<T> {
  readonly calls: readonly T[];
  readonly atMs: number;
  readonly revision: number;
}

/**
 * Orders calls by rank, then by the slot time that their client accounts have used. Without usage,
 * they are ordered by arrival instead. Nothing else of a call counts: not the target of its route,
 * and not how much time its caller has left.
 */
export class WaitQueue<T extends WaitingCall> {
  readonly #fairOrder: FairOrder | undefined;

  /** Waiting calls by rank. */
  readonly #levels = new Map<number, AccountFlows<T>>();

  readonly #calls = new Set<T>();

  #order: ComputedOrder<T> | undefined;

  /** @param fairOrder - usage by which client accounts are ordered; without it, arrival counts */
  constructor(fairOrder?: FairOrder) {
    this.#fairOrder = fairOrder;
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#calls.size;
  }

  /** @param call - a call to insert at its position */
  add(call: T): void {
    const level = this.#levels.get(call.rank) ?? new AccountFlows<T>(this.#fairOrder);
    this.#levels.set(call.rank, level);
    level.add(call);
    this.#calls.add(call);
    this.#order = undefined;
  }

  /** @param call - a call that no longer waits. @returns whether it was in the queue */
  remove(call: T): boolean {
    const level = this.#levels.get(call.rank);
    if (!level || !this.#calls.delete(call)) return false;
    level.remove(call);
    if (level.isEmpty) this.#levels.delete(call.rank);
    this.#order = undefined;
    return true;
  }

  /** Rank of the first call; Infinity if the queue is empty. */
  get firstRank(): number {
    return Math.min(Infinity, ...this.#levels.keys());
  }

  /**
   * Rank of the first call, less a half if its account has less than its fair share of the slots;
   * Infinity if the queue is empty. By it, entry hosts decide which of them is given a free slot.
   */
  get firstPriority(): number {
    const { firstRank } = this;
    const [first] = this.list();
    const isBelowShare = first && this.#levels.get(firstRank)?.isBelowShare(first);
    return isBelowShare ? firstRank - BELOW_SHARE_LEAD : firstRank;
  }

  /** @returns the calls in queue order */
  list(): readonly T[] {
    const atMs = this.#fairOrder?.nowMs() ?? 0;
    const revision = this.#fairOrder?.usage.revision ?? 0;
    const known = this.#order;
    if (known && known.revision === revision && atMs - known.atMs <= MAX_ORDER_AGE_MS)
      return known.calls;
    const ranks = [...this.#levels.keys()].sort((a, b) => a - b);
    const calls = ranks.flatMap((rank) => this.#levels.get(rank)?.list() ?? []);
    this.#order = { calls, atMs, revision };
    return calls;
  }

  /**
   * @param call - a call outside the queue
   * @returns the number of calls that would be ahead of it
   */
  countAhead(call: T): number {
    let ahead = this.#levels.get(call.rank)?.countAhead(call) ?? 0;
    this.#calls.forEach(({ rank }) => {
      if (rank < call.rank) ahead += 1;
    });
    return ahead;
  }
}
