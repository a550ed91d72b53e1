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
 * difference between two urgencies.
 */
const BELOW_SHARE_LEAD = 0.5;

/** Properties of a waiting call that determine its position in the queue. */
export interface WaitingCall extends FlowCall {
  /** Priority rank; 0 is the most urgent. */
  readonly rank: number;
  /**
   * Whether the call's target can't be met any more, as with a caller that was refused before.
   */
  readonly isLate: boolean;
}

/** An order that was computed. */
interface ComputedOrder<T> {
  readonly calls: readonly T[];
  readonly atMs: number;
  readonly revision: number;
}

/**
 * Orders calls by rank, then those on time before late ones, then by the slot time that their client
 * accounts have used. Without usage, they are ordered by arrival instead.
 *
 * Late calls come last within their rank. If they came first, an overload would never end: slots
 * would go to returning callers, new ones would be refused in their favor and would be late
 * themselves on their return. In one measured burst of 1.7 times the usual traffic, only 15
 * percent of answers were on time that way, and it stayed so for ten seconds after the burst.
 */
export class WaitQueue<T extends WaitingCall> {
  readonly #fairOrder: FairOrder | undefined;

  /** Waiting calls by urgency. */
  readonly #levels = new Map<number, AccountFlows<T>>();

  /** Urgency of each waiting call when it was added. */
  readonly #urgencies = new Map<T, number>();

  #order: ComputedOrder<T> | undefined;

  /** @param fairOrder - usage by which client accounts are ordered; without it, arrival counts */
  constructor(fairOrder?: FairOrder) {
    this.#fairOrder = fairOrder;
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#urgencies.size;
  }

  /** @param call - a call to insert at its position */
  add(call: T): void {
    const urgency = computeUrgency(call);
    const level = this.#levels.get(urgency) ?? new AccountFlows<T>(this.#fairOrder);
    this.#levels.set(urgency, level);
    level.add(call);
    this.#urgencies.set(call, urgency);
    this.#order = undefined;
  }

  /** @param call - a call that no longer waits. @returns whether it was in the queue */
  remove(call: T): boolean {
    const urgency = this.#urgencies.get(call);
    const level = urgency === undefined ? undefined : this.#levels.get(urgency);
    if (urgency === undefined || !level) return false;
    level.remove(call);
    if (level.isEmpty) this.#levels.delete(urgency);
    this.#urgencies.delete(call);
    this.#order = undefined;
    return true;
  }

  /** Urgency of the first call; Infinity if the queue is empty. */
  get firstUrgency(): number {
    return Math.min(Infinity, ...this.#levels.keys());
  }

  /**
   * Urgency of the first call, less a half if its account has less than its fair share of the slots;
   * Infinity if the queue is empty. By it, entry hosts decide which of them is given a free slot.
   */
  get firstPriority(): number {
    const { firstUrgency } = this;
    const [first] = this.list();
    const isBelowShare = first && this.#levels.get(firstUrgency)?.isBelowShare(first);
    return isBelowShare ? firstUrgency - BELOW_SHARE_LEAD : firstUrgency;
  }

  /** @returns the calls in queue order */
  list(): readonly T[] {
    const atMs = this.#fairOrder?.nowMs() ?? 0;
    const revision = this.#fairOrder?.usage.revision ?? 0;
    const known = this.#order;
    if (known && known.revision === revision && atMs - known.atMs <= MAX_ORDER_AGE_MS)
      return known.calls;
    const urgencies = [...this.#levels.keys()].sort((a, b) => a - b);
    const calls = urgencies.flatMap((urgency) => this.#levels.get(urgency)?.list() ?? []);
    this.#order = { calls, atMs, revision };
    return calls;
  }

  /**
   * @param call - a call outside the queue
   * @returns the number of calls that would be ahead of it
   */
  countAhead(call: T): number {
    const ownUrgency = computeUrgency(call);
    let ahead = this.#levels.get(ownUrgency)?.countAhead(call) ?? 0;
    this.#urgencies.forEach((urgency) => {
      if (urgency < ownUrgency) ahead += 1;
    });
    return ahead;
  }

  /**
   * Removes the calls whose latest useful start has passed.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns the removed calls, in queue order
   */
  removeExpired(nowMs: number): T[] {
    const isExpired = ({ latestStartAtMs }: T): boolean => latestStartAtMs <= nowMs;
    if (![...this.#urgencies.keys()].some(isExpired)) return [];
    const expired = this.list().filter(isExpired);
    expired.forEach((call) => this.remove(call));
    return expired;
  }
}

/**
 * Combines rank and lateness of a call into one number.
 *
 * @param call - a call
 * @returns its urgency; 0 is the most urgent
 */
export function computeUrgency({ rank, isLate }: Pick<WaitingCall, 'isLate' | 'rank'>): number {
  return 2 * rank + (isLate ? 1 : 0);
}
