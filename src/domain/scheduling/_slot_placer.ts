/**
 * Places waiting demands on backend servers during one round of grants.
 *
 * @module
 */
import type { OfferedLoad } from './offered_load.js';
import type { ServerPool } from './server_pool.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';
import { Tier } from './tier.js';
import type { Placer } from './waiting_queue.js';

/** Inputs of one round of grants. */
export interface SlotPlacerOptions {
  readonly pool: ServerPool;
  readonly offered: OfferedLoad;
  /** Monotonic time of the round in milliseconds. */
  readonly nowMs: number;
  /** Returns random numbers in [0, 1). */
  readonly nextFraction: () => number;
}

/** Places demands on the backend servers of a group. */
export class SlotPlacer implements Placer<string> {
  readonly #options: SlotPlacerOptions;

  readonly #unreachable = new Set<SlotDemand>();

  /** Highest tier among the unreachable demands. */
  #unreachableTier: Tier | undefined;

  /** @param options - inputs of the round */
  constructor(options: SlotPlacerOptions) {
    this.#options = options;
  }

  /**
   * @returns demands whose turn has come but which would miss their deadlines
   *   on any server, lowest tier first
   */
  listUnreachable(): SlotDemand[] {
    return [...this.#unreachable].sort((a, b) => b.tier - a.tier);
  }

  /**
   * Returns whether a tier has capacity. A tier below a demand that is about to
   * be refused has none, because that refusal closes all lower tiers.
   */
  hasCapacity(tier: Tier, isAged: boolean): boolean {
    const { pool, nowMs } = this.#options;
    if (this.#unreachableTier !== undefined && tier > this.#unreachableTier) return false;
    return (isAged || this.#isBelowTierLimit(tier)) && pool.hasCapacity(tier, isAged, nowMs);
  }

  pickTarget({ demand }: WaitingDemand, isAged: boolean): string | undefined {
    const { pool, nowMs, nextFraction } = this.#options;
    const target = pool.pickServer(demand, isAged, nowMs, nextFraction);
    if (target === undefined && pool.isTooLate(demand, nowMs)) this.#recordUnreachable(demand);
    return target;
  }

  predictRecomputedTokens({ demand }: WaitingDemand, target: string): number {
    return this.#options.pool.predictRecomputedTokens(demand, target, this.#options.nowMs);
  }

  isWorthDelaying({ demand }: WaitingDemand, target: string): boolean {
    return this.#options.pool.isWorthDelaying(demand, target, this.#options.nowMs);
  }

  #recordUnreachable(demand: SlotDemand): void {
    this.#unreachable.add(demand);
    if (this.#unreachableTier === undefined || demand.tier < this.#unreachableTier)
      this.#unreachableTier = demand.tier;
  }

  /**
   * Returns whether a tier leaves enough slots for the load that higher tiers
   * have recently offered. Otherwise long requests of lower tiers would occupy
   * freed slots for a minute, while urgent requests would wait or miss their
   * deadlines.
   */
  #isBelowTierLimit(tier: Tier): boolean {
    const { pool, offered, nowMs } = this.#options;
    if (!pool.strategy.hasAdaptiveReserve || tier === Tier.Urgent) return true;
    const reservedSlots = offered.predictSlotsAbove(tier, nowMs);
    return pool.countHeldAtOrBelow(tier) < Math.max(1, pool.computeWindow(nowMs) - reservedSlots);
  }
}
