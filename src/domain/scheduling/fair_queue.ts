/**
 * The dispatcher's queue: by tier, then weighted fair share between client
 * accounts, then deadline; with aging.
 *
 * @module
 */
import { TIERS } from './tier.js';
import type { Tier } from './tier.js';
import { FairTier } from './_fair_tier.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';
import { WaitingQueue } from './waiting_queue.js';
import type { Placement, Placer } from './waiting_queue.js';
import { findPlacement, MAX_LOOKED_AT, ON_HOLD, WarmSearch } from './_warm_search.js';

/** A demand that has waited for this long is aged. */
export const STARVATION_BOUND_MS = 30_000;

/** Of this many grants in a row, at most one goes to an aged demand out of its turn. */
export const AGED_GRANT_INTERVAL = 8;

/**
 * Part of the granted work that goes to aged demands out of their turn while
 * there are any. Counted in grants alone, one audit in eight would take most of
 * the slots from seven pings: their lengths differ a hundredfold.
 */
export const AGED_WORK_PART = 0.05;

/**
 * Orders by tier, then start-time fair queuing over predicted work between
 * accounts, then deadline inside an account. Of the first few of a tier, one
 * whose prompt prefix the free place holds may go ahead of the others.
 *
 * Bound on starvation: of the demands that have waited for more than
 * {@link STARVATION_BOUND_MS}, the one that has waited longest is granted as
 * soon as {@link AGED_GRANT_INTERVAL} grants have been made, and work worth
 * 1 / {@link AGED_WORK_PART} times the aged demand granted before it, whatever
 * higher tiers bring; provided that a backend server which it may use has room.
 * A demand that is refused because its tier closes does not wait any more: it is
 * told so at once, with when to come back.
 */
export class FairQueue extends WaitingQueue {
  readonly #tiers = new Map<Tier, FairTier>(TIERS.map((tier) => [tier, new FairTier()]));

  readonly #byKey = new Map<string, WaitingDemand>();

  readonly #search = new WarmSearch();

  /** No demand is aged before this time, on the monotonic clock. */
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
    if (queue.size === 0) this.#search.release(queue);
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
    this.#search.release(queue);
    const { workMs } = placement.waiting;
    this.#grantsSinceAged = aged ? 1 : this.#grantsSinceAged + 1;
    if (aged) this.#agedDebtMs = workMs / AGED_WORK_PART - workMs;
    else this.#agedDebtMs = Math.max(0, this.#agedDebtMs - workMs);
    return placement;
  }

  override computeWorkAhead(demand: SlotDemand): number {
    return TIERS.filter((tier) => tier < demand.tier).reduce(
      (sum, tier) => sum + this.#getTier(tier).workMs,
      this.#getTier(demand.tier).computeWorkAhead(demand),
    );
  }

  override computeWork(tier: Tier): number {
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
      if (queue.size > 0 && placer.hasRoom(tier, false)) {
        const found = this.#search.find(queue, nowMs, placer);
        if (found === ON_HOLD) return undefined;
        if (found) return found;
      }
    }
    return undefined;
  }

  #findAged<P>(nowMs: number, placer: Placer<P>): Placement<P> | undefined {
    if (this.#grantsSinceAged < AGED_GRANT_INTERVAL || this.#agedDebtMs > 0) return undefined;
    if (nowMs < this.#nextAgedAtMs || !TIERS.some((tier) => placer.hasRoom(tier, true)))
      return undefined;
    const oldest = this.list().sort((a, b) => a.demand.waitingSinceMs - b.demand.waitingSinceMs);
    this.#nextAgedAtMs = (oldest[0]?.demand.waitingSinceMs ?? Infinity) + STARVATION_BOUND_MS;
    const aged = oldest
      .slice(0, MAX_LOOKED_AT)
      .filter(({ demand }) => nowMs - demand.waitingSinceMs > STARVATION_BOUND_MS);
    return findPlacement(aged, placer, true);
  }
}
