/**
 * Waiting calls of one urgency, in a fair order of their client accounts.
 *
 * @module
 */
import { compareFlows, findDueIndex, MIN_WEIGHT } from '../scheduling/flow_order.js';
import type { FlowHead } from '../scheduling/flow_order.js';
import type { AccountUsage, WeightedAccount } from './account_usage.js';
import { ANONYMOUS_ACCOUNT } from './account_usage.js';

/** Properties of a call that determine its position among calls of the same urgency. */
export interface FlowCall {
  /** Client account of the call; undefined for the one that calls without an account share. */
  readonly accountId?: string | undefined;
  /** Weight of the account relative to the others. Default: 1. */
  readonly weight?: number | undefined;
  /** Arrival time on the monotonic clock, in milliseconds. */
  readonly arrivedAtMs: number;
  /** Latest useful start on a backend server, in milliseconds of the monotonic clock. */
  readonly latestStartAtMs: number;
}

/** Usage by which accounts are ordered. */
export interface FairOrder {
  readonly usage: AccountUsage;
  /** @returns monotonic time in milliseconds */
  readonly nowMs: () => number;
  /** @param account - an account. @returns whether it has less than its fair share of the slots */
  readonly isBelowShare?: (account: WeightedAccount) => boolean;
}

/** Waiting calls of one account. */
interface Flow<T> extends WeightedAccount {
  weight: number;
  /** Sorted by due time, earliest first. */
  readonly calls: T[];
}

/** A call and its position. */
interface PlacedCall<T> extends FlowHead {
  readonly call: T;
}

/**
 * Orders calls as start-time fair queuing does: the account with the least slot time per unit of
 * weight goes first, and each listed call counts as if it had been served before the next one of its
 * account. Within an account, the call with the least time left goes first; it becomes the first one
 * in the end, as later calls are due later. Without usage, the order is that of arrival.
 */
export class AccountFlows<T extends FlowCall> {
  /** By account ID. */
  readonly #flows = new Map<string, Flow<T>>();

  readonly #order: FairOrder | undefined;

  /** @param order - usage by which accounts are ordered; undefined for the order of arrival */
  constructor(order: FairOrder | undefined) {
    this.#order = order;
  }

  /** Whether no call waits. */
  get isEmpty(): boolean {
    return this.#flows.size === 0;
  }

  /** @param call - a call that begins to wait */
  add(call: T): void {
    const { calls } = this.#openFlow(call);
    calls.splice(this.#findIndex(calls, call), 0, call);
  }

  /** @param call - a call that no longer waits */
  remove(call: T): void {
    const flow = this.#flows.get(this.#getAccountId(call));
    const index = flow?.calls.indexOf(call) ?? -1;
    if (!flow || index < 0) return;
    flow.calls.splice(index, 1);
    if (flow.calls.length === 0) this.#flows.delete(flow.accountId);
  }

  /** @returns the calls in order */
  list(): T[] {
    const [first] = this.#flows.values();
    if (this.#flows.size === 1 && first) return [...first.calls];
    const placed = [...this.#flows.values()].flatMap((flow) => this.#placeCalls(flow));
    return placed.sort(comparePlaced).map(({ call }) => call);
  }

  /**
   * @param call - a call that doesn't wait
   * @returns the number of waiting calls that would go before it
   */
  countAhead(call: T): number {
    const ownFlow = this.#flows.get(this.#getAccountId(call));
    const ownAhead = ownFlow ? this.#findIndex(ownFlow.calls, call) : 0;
    const others = [...this.#flows.values()].filter((flow) => flow !== ownFlow);
    if (others.length === 0) return ownAhead;
    const account = this.#describeAccount(call);
    const startTag = ownFlow ? this.#computeTag(account) : this.#computeFirstTag(account);
    const placed = {
      call,
      startTag: startTag + ownAhead * this.#computeStep(account),
      dueAtMs: this.#getDueAtMs(call),
    };
    const placedOthers = others.flatMap((flow) => this.#placeCalls(flow));
    return ownAhead + placedOthers.filter((other) => comparePlaced(other, placed) <= 0).length;
  }

  /** @param call - a call. @returns whether its account has less than its share of the slots */
  isBelowShare(call: T): boolean {
    return this.#order?.isBelowShare?.(this.#describeAccount(call)) === true;
  }

  #openFlow(call: T): Flow<T> {
    const account = this.#describeAccount(call);
    const known = this.#flows.get(account.accountId);
    if (known) {
      known.weight = account.weight;
      return known;
    }
    if (this.#order) {
      const { usage, nowMs } = this.#order;
      usage.recordWaiting(account, this.#findFirstTag(), nowMs());
    }
    const flow: Flow<T> = { ...account, calls: [] };
    this.#flows.set(account.accountId, flow);
    return flow;
  }

  #placeCalls(flow: Flow<T>): PlacedCall<T>[] {
    const tag = this.#computeTag(flow);
    const step = this.#computeStep(flow);
    return flow.calls.map((call, index) => ({
      call,
      startTag: tag + index * step,
      dueAtMs: this.#getDueAtMs(call),
    }));
  }

  #computeTag(account: WeightedAccount): number {
    return this.#order ? this.#order.usage.computeTag(account, this.#order.nowMs()) : 0;
  }

  /** Tag that an account would have if it began to wait now. */
  #computeFirstTag(account: WeightedAccount): number {
    if (!this.#order) return 0;
    const { usage, nowMs } = this.#order;
    return usage.computeFirstTag(account, this.#findFirstTag(), nowMs());
  }

  #findFirstTag(): number {
    const tags = [...this.#flows.values()].map((flow) => this.#computeTag(flow));
    return Math.min(Infinity, ...tags);
  }

  /** Slot time per unit of weight that one more served call adds. */
  #computeStep({ weight }: WeightedAccount): number {
    return (this.#order?.usage.averageHoldMs ?? 0) / Math.max(MIN_WEIGHT, weight);
  }

  /** Without usage, all calls are of one account. */
  #getAccountId(call: T): string {
    return (this.#order && call.accountId) ?? ANONYMOUS_ACCOUNT;
  }

  #describeAccount(call: T): WeightedAccount {
    return { accountId: this.#getAccountId(call), weight: call.weight ?? 1 };
  }

  #getDueAtMs(call: T): number {
    return this.#order ? call.latestStartAtMs : call.arrivedAtMs;
  }

  /** Behind calls that are due at the same time, except those that arrived later. */
  #findIndex(calls: readonly T[], call: T): number {
    let index = findDueIndex(calls, this.#getDueAtMs(call), (other) => this.#getDueAtMs(other));
    while (index > 0 && this.#isBefore(call, calls[index - 1] as T)) index -= 1;
    return index;
  }

  #isBefore(call: T, other: T): boolean {
    const isDueAtOnce = this.#getDueAtMs(call) === this.#getDueAtMs(other);
    return isDueAtOnce && call.arrivedAtMs < other.arrivedAtMs;
  }
}

function comparePlaced(a: PlacedCall<FlowCall>, b: PlacedCall<FlowCall>): number {
  return compareFlows(a, b) || a.call.arrivedAtMs - b.call.arrivedAtMs;
}
