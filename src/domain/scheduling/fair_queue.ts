/**
 * The dispatcher's queue: ordered by tier, then by weighted fair share between
 * client accounts, then by deadline, with aging against starvation.
 *
 * @module
 */
import { TIERS } from './tier.js';
import type { Tier } from './tier.js';
import { FairTier } from './_fair_tier.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';
import { WaitingQueue } from './waiting_queue.js';
import type { Placement, Placer } from './waiting_queue.js';
import { findPlacement, MAX_EXAMINED, DELAYED, WarmSearch } from './_warm_search.js';

/** Waiting time after which a demand is aged, in milliseconds. */
export const STARVATION_BOUND_MS = 30_000;

/** Of this many consecutive grants, at most one goes to an aged demand out of turn. */
export const AGED_GRANT_INTERVAL = 8;

/**
 * Fraction of the granted work that goes to aged demands out of turn while there
 * are any. Request lengths differ a hundredfold: if only grants were counted, one
 * long request in eight grants would take most of the slot time from seven short
 * ones.
 */
export const AGED_WORK_FRACTION = 0.05;

/**
 * Orders demands by tier, then between accounts by start-time fair queuing over
 * predicted work, then within an account by deadline. Of the first few demands
 * of a tier, one whose prompt prefix is cached on a free backend server may
 * overtake the others.
 *
 * Starvation bound: among the demands that have waited for more than
 * {@link STARVATION_BOUND_MS}, the longest-waiting one is granted as soon as
 * {@link AGED_GRANT_INTERVAL} grants have been made since the previous aged
 * demand, and work worth 1 / {@link AGED_WORK_FRACTION} times that demand's work.
 * This holds whatever load higher tiers bring, provided that a backend server
 * which the demand may use has capacity. A demand refused because its tier closes
 * does not wait any longer: its caller is told at once, with a retry delay.
 */
export class FairQueue extends WaitingQueue {
  readonly #tiers = new Map<Tier, FairTier>(TIERS.map((tier) => [tier, new FairTier()]));

  readonly #byKey = new Map<string, WaitingDemand>();

  readonly #warmSearch = new WarmSearch();

  /** No demand is aged before this time, in monotonic milliseconds. */
  #nextAgedAtMs = Infinity;

  #grantsSinceAged = AGED_GRANT_INTERVAL;

  /** Work that must be granted in turn before the next aged demand, in milliseconds. */
  #agedDebtMs = 0;

  override get size(): number {
    return this.#byKey.size;
  }

  override add(waiting: WaitingDemand): void {
    const { key, waitingSinceMs } = waiting.demand;
    this.#byKey.set(key, waiting);
    this.#nextAgedAtMs = Math.min(this.#nextAgedAtMs, waitingSinceMs + STARVATION_BOUND_MS);
    this.#getTier(waiting.demand.tier).add(waiting);
  }

  override remove(key: string): WaitingDemand | undefined {
    const waiting = this.#byKey.get(key);
    if (!waiting) return undefined;
    this.#byKey.delete(key);
    const queue = this.#getTier(waiting.demand.tier);
    queue.remove(waiting);
    if (queue.size === 0) this.#warmSearch.clearDelay(queue);
    return waiting;
  }

  override list(): WaitingDemand[] {
    return [...this.#byKey.values()];
  }

  override countTier(tier: Tier): number {
    return this.#getTier(tier).size;
  }

  override takeFirst<P>(nowMs: number, placer: Placer<P>): Placement<P> | undefined {
    const aged = this.#findAged(nowMs, placer);
    const placement = aged ?? this.#findInTurn(nowMs, placer);
    if (!placement) return undefined;
    this.#byKey.delete(placement.waiting.demand.key);
    const queue = this.#getTier(placement.waiting.demand.tier);
    queue.grant(placement.waiting);
    this.#warmSearch.clearDelay(queue);
    const { workMs } = placement.waiting;
    this.#grantsSinceAged = aged ? 1 : this.#grantsSinceAged + 1;
    if (aged) this.#agedDebtMs = workMs / AGED_WORK_FRACTION - workMs;
    else this.#agedDebtMs = Math.max(0, this.#agedDebtMs - workMs);
    return placement;
  }

  override computeWorkAheadMs(demand: SlotDemand): number {
    return TIERS.filter((tier) => tier < demand.tier).reduce(
      (sum, tier) => sum + this.#getTier(tier).workMs,
      this.#getTier(demand.tier).computeWorkAheadMs(demand),
    );
  }

  override computeWorkMs(tier: Tier): number {
    return TIERS.filter((other) => other <= tier).reduce(
      (sum, other) => sum + this.#getTier(other).workMs,
      0,
    );
  }

  override pickVictim(tier: Tier): WaitingDemand | undefined {
    return this.#getTier(tier).pickVictim();
  }

  #getTier(tier: Tier): FairTier {
    const found = this.#tiers.get(tier);
    if (!found) throw new Error(`Cannot queue for tier ${tier}: there is no such tier`);
    return found;
  }

  #findInTurn<P>(nowMs: number, placer: Placer<P>): Placement<P> | undefined {
    for (const tier of TIERS) {
      const queue = this.#getTier(tier);
      if (queue.size > 0 && placer.hasCapacity(tier, false)) {
        const found = this.#warmSearch.find(queue, nowMs, placer);
        if (found === DELAYED) return undefined;
        if (found) return found;
      }
    }
    return undefined;
  }

  #findAged<P>(nowMs: number, placer: Placer<P>): Placement<P> | undefined {
    if (this.#grantsSinceAged < AGED_GRANT_INTERVAL || this.#agedDebtMs > 0) return undefined;
    if (nowMs < this.#nextAgedAtMs || !TIERS.some((tier) => placer.hasCapacity(tier, true)))
      return undefined;
    const oldestFirst = this.list().sort(
      (a, b) => a.demand.waitingSinceMs - b.demand.waitingSinceMs,
    );
    this.#nextAgedAtMs = (oldestFirst[0]?.demand.waitingSinceMs ?? Infinity) + STARVATION_BOUND_MS;
    const aged = oldestFirst
      .slice(0, MAX_EXAMINED)
      .filter(({ demand }) => nowMs - demand.waitingSinceMs > STARVATION_BOUND_MS);
    return findPlacement(aged, placer, true);
  }
}
