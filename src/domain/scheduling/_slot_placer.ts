/**
 * Where waiting demands could run, in one round of grants.
 *
 * @module
 */
import type { OfferedLoad } from './offered_load.js';
import type { ServerPool } from './server_pool.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';
import { Tier } from './tier.js';
import type { Placer } from './waiting_queue.js';

/** What a round of grants looks at. */
export interface SlotPlacerOptions {
  readonly pool: ServerPool;
  readonly offered: OfferedLoad;
  /** Monotonic time of the round in milliseconds. */
  readonly nowMs: number;
  /** Gives random numbers in [0, 1). */
  readonly nextFraction: () => number;
}

/** Places demands on the backend servers of a group. */
export class SlotPlacer implements Placer<string> {
  readonly #options: SlotPlacerOptions;

  readonly #late = new Set<SlotDemand>();

  /** The highest tier of what is late. */
  #lateTier: Tier | undefined;

  /** @param options - what it looks at */
  constructor(options: SlotPlacerOptions) {
    this.#options = options;
  }

  /** @returns demands that came to their turn and would run in vain anywhere, lowest tier first */
  listLate(): SlotDemand[] {
    return [...this.#late].sort((a, b) => b.tier - a.tier);
  }

  /** Nothing goes past a higher tier's demand that is about to be refused: it closes the lower tiers. */
  hasRoom(tier: Tier, isAged: boolean): boolean {
    const { pool, nowMs } = this.#options;
    if (this.#lateTier !== undefined && tier > this.#lateTier) return false;
    return (isAged || this.#mayHoldMore(tier)) && pool.hasRoom(tier, isAged, nowMs);
  }

  pickPlace({ demand }: WaitingDemand, isAged: boolean): string | undefined {
    const { pool, nowMs, nextFraction } = this.#options;
    const place = pool.pickServer(demand, isAged, nowMs, nextFraction);
    if (place === undefined && pool.isTooLate(demand, nowMs)) this.#noteLate(demand);
    return place;
  }

  predictRepeated({ demand }: WaitingDemand, place: string): number {
    return this.#options.pool.predictRepeated(demand, place, this.#options.nowMs);
  }

  isWorthHolding({ demand }: WaitingDemand, place: string): boolean {
    return this.#options.pool.isWorthHolding(demand, place, this.#options.nowMs);
  }

  #noteLate(demand: SlotDemand): void {
    this.#late.add(demand);
    if (this.#lateTier === undefined || demand.tier < this.#lateTier) this.#lateTier = demand.tier;
  }

  /**
   * Keeps lower tiers to what higher ones don't need. Their long requests would
   * else hold the slots that come free for a minute, and the urgent ones of that
   * minute would wait or run too late.
   */
  #mayHoldMore(tier: Tier): boolean {
    const { pool, offered, nowMs } = this.#options;
    if (!pool.strategy.reservesByDemand || tier === Tier.Urgent) return true;
    const kept = offered.predictSlotsAbove(tier, nowMs);
    return pool.countHeldFrom(tier) < Math.max(1, pool.computeWindow(nowMs) - kept);
  }
}
