/**
 * Slot time that client accounts have used lately, from which their fair shares are derived. The
 * tag of an account is its slot time per unit of weight; the account with the lowest tag goes first.
 *
 * @module
 */
import { MIN_WEIGHT } from '../scheduling/flow_order.js';
import { HoldTimeAverage } from './hold_time_average.js';

/**
 * Half-life of used slot time, in milliseconds. It spans several requests, so that a single long one
 * doesn't decide the order; and it is short against the ten seconds that callers of long answers
 * have, so that a burst of an account doesn't cost it the calls that come long after.
 */
export const USAGE_HALF_LIFE_MS = 3_000;

/** Maximum number of accounts whose usage is kept. */
export const MAX_ACCOUNTS = 1_024;

/** Account of all calls without one. */
export const ANONYMOUS_ACCOUNT = '';

/** Usage below which an account counts as idle, in slot milliseconds. */
const MIN_USAGE_MS = 1;

/**
 * Lowest usage at which an account begins to wait, as a fraction of that of the account served last.
 * An account that was idle would otherwise take all slots until its usage has caught up, and calls of
 * the others with one or two seconds left would be refused meanwhile. With this value, an account
 * that could use all slots takes them alone for at most a third of the half-life.
 */
const MIN_START_FRACTION = 0.75;

/** An account and its weight relative to the others. */
export interface WeightedAccount {
  readonly accountId: string;
  readonly weight: number;
}

/** A slot that was given back. */
export interface SlotTimes {
  /** Time that was charged when the slot was given, in milliseconds. */
  readonly predictedMs: number;
  /** Time for which it was held, in milliseconds. */
  readonly heldMs: number;
}

/** Decayed sums of one account, as of `atMs`. */
interface AccountSums {
  usageMs: number;
  /** Added to the usage where accounts are ordered; neither reported nor charged. */
  offsetMs: number;
  atMs: number;
}

/**
 * Keeps the slot time of each account of one service as an exponentially decayed sum, and adds what
 * peers report. Decayed sums of several hosts can be added up.
 */
export class AccountUsage {
  readonly #findPeerMs: (accountId: string) => number;

  readonly #sums = new Map<string, AccountSums>();

  /** Tag of the account served last, as of `#servedAtMs`. */
  #servedTag = 0;

  #servedAtMs = 0;

  #revision = 0;

  readonly #holdTime = new HoldTimeAverage();

  /**
   * @param findPeerMs - returns the slot time that peers report of an account, in milliseconds;
   *   without it, peers report none
   */
  constructor(findPeerMs: (accountId: string) => number = () => 0) {
    this.#findPeerMs = findPeerMs;
  }

  /** Number that grows with each change of this host's own sums. */
  get revision(): number {
    return this.#revision;
  }

  /** Average time for which a slot is held, in milliseconds. */
  get averageHoldMs(): number {
    return this.#holdTime.averageMs;
  }

  /** Number of accounts with sums of their own. */
  get size(): number {
    return this.#sums.size;
  }

  /**
   * Charges a slot when it is given, so that running requests count.
   *
   * @param account - account that is given the slot
   * @param predictedMs - time for which it is expected to hold the slot, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  charge(account: WeightedAccount, predictedMs: number, nowMs: number): void {
    this.#servedTag = Math.max(this.#decayServedTag(nowMs), this.computeTag(account, nowMs));
    this.#servedAtMs = nowMs;
    this.#add(account.accountId, { usageMs: predictedMs, offsetMs: 0 }, nowMs);
  }

  /**
   * Replaces the predicted time of a slot by the time for which it was held.
   *
   * @param accountId - account that gives the slot back
   * @param times - charged and actual time
   * @param nowMs - monotonic time in milliseconds
   */
  settle(accountId: string, { predictedMs, heldMs }: SlotTimes, nowMs: number): void {
    const remaining = computeDecay(heldMs);
    // Slot time decays while the slot is held.
    const decayedHeldMs = ((1 - remaining) * USAGE_HALF_LIFE_MS) / Math.LN2;
    this.#add(accountId, { usageMs: decayedHeldMs - predictedMs * remaining, offsetMs: 0 }, nowMs);
    this.#holdTime.record(heldMs);
  }

  /**
   * @param accountId - an account
   * @param nowMs - monotonic time in milliseconds
   * @returns its slot time at this host, in milliseconds
   */
  getOwnMs(accountId: string, nowMs: number): number {
    const sums = this.#sums.get(accountId);
    return sums ? sums.usageMs * computeDecay(nowMs - sums.atMs) : 0;
  }

  /**
   * @param accountId - an account
   * @param nowMs - monotonic time in milliseconds
   * @returns its slot time at all hosts, in milliseconds
   */
  getTotalMs(accountId: string, nowMs: number): number {
    return this.getOwnMs(accountId, nowMs) + this.#findPeerMs(accountId);
  }

  /**
   * Computes the position of an account in the order: the lowest goes first.
   *
   * @param account - an account
   * @param nowMs - monotonic time in milliseconds
   * @returns slot time per unit of weight, in milliseconds
   */
  computeTag({ accountId, weight }: WeightedAccount, nowMs: number): number {
    const sums = this.#sums.get(accountId);
    const ownMs = sums ? (sums.usageMs + sums.offsetMs) * computeDecay(nowMs - sums.atMs) : 0;
    return (ownMs + this.#findPeerMs(accountId)) / Math.max(MIN_WEIGHT, weight);
  }

  /**
   * Computes the position that an account would have if it began to wait. Having been idle puts it
   * ahead of the others only by a bounded part of what they have used.
   *
   * @param account - the account
   * @param firstTag - lowest tag of the accounts that wait already; Infinity if there is none
   * @param nowMs - monotonic time in milliseconds
   * @returns slot time per unit of weight, in milliseconds
   */
  computeFirstTag(account: WeightedAccount, firstTag: number, nowMs: number): number {
    const lowestTag = Math.min(firstTag, this.#decayServedTag(nowMs) * MIN_START_FRACTION);
    return Math.max(lowestTag, this.computeTag(account, nowMs));
  }

  /**
   * Records that an account begins to wait.
   *
   * @param account - the account
   * @param firstTag - lowest tag of the accounts that wait already; Infinity if there is none
   * @param nowMs - monotonic time in milliseconds
   */
  recordWaiting(account: WeightedAccount, firstTag: number, nowMs: number): void {
    const tag = this.computeTag(account, nowMs);
    const missing = this.computeFirstTag(account, firstTag, nowMs) - tag;
    if (missing <= 0) return;
    const offsetMs = missing * Math.max(MIN_WEIGHT, account.weight);
    this.#add(account.accountId, { usageMs: 0, offsetMs }, nowMs);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns slot time at this host of each account that is not idle, in whole milliseconds
   */
  listOwn(nowMs: number): Map<string, number> {
    const listed = new Map<string, number>();
    this.#sums.forEach(({ usageMs, atMs }, accountId) => {
      const rounded = Math.round(usageMs * computeDecay(nowMs - atMs));
      if (rounded >= MIN_USAGE_MS) listed.set(accountId, rounded);
    });
    return listed;
  }

  #decayServedTag(nowMs: number): number {
    return this.#servedTag * computeDecay(nowMs - this.#servedAtMs);
  }

  #add(accountId: string, added: Pick<AccountSums, 'offsetMs' | 'usageMs'>, nowMs: number): void {
    this.#revision += 1;
    const sums = this.#sums.get(accountId) ?? this.#create(accountId, nowMs);
    const decay = computeDecay(nowMs - sums.atMs);
    sums.usageMs = Math.max(0, sums.usageMs * decay + added.usageMs);
    sums.offsetMs = sums.offsetMs * decay + added.offsetMs;
    sums.atMs = nowMs;
  }

  #create(accountId: string, nowMs: number): AccountSums {
    if (this.#sums.size >= MAX_ACCOUNTS) this.#dropIdle(nowMs);
    const sums = { usageMs: 0, offsetMs: 0, atMs: nowMs };
    this.#sums.set(accountId, sums);
    return sums;
  }

  /** Drops idle accounts, and if there is none, the one with the least usage. */
  #dropIdle(nowMs: number): void {
    let leastId: string | undefined;
    let leastMs = Infinity;
    this.#sums.forEach(({ usageMs, offsetMs, atMs }, accountId) => {
      const leftMs = (usageMs + offsetMs) * computeDecay(nowMs - atMs);
      if (leftMs < MIN_USAGE_MS) this.#sums.delete(accountId);
      if (leftMs >= leastMs) return;
      leastId = accountId;
      leastMs = leftMs;
    });
    if (leastId !== undefined) this.#sums.delete(leastId);
  }
}

function computeDecay(elapsedMs: number): number {
  return 2 ** (-Math.max(0, elapsedMs) / USAGE_HALF_LIFE_MS);
}
