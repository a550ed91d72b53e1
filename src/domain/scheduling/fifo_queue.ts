/**
 * FIFO queue without tiers, used as a baseline.
 *
 * @module
 */
import type { Tier } from './tier.js';
import type { WaitingDemand } from './slot_demand.js';
import { WaitingQueue } from './waiting_queue.js';
import type { Placement, Placer } from './waiting_queue.js';

/** First come, first served, whatever the tier, account or deadline. */
export class FifoQueue extends WaitingQueue {
  /** Waiting demands in order of arrival, which is a map's insertion order. */
  readonly #byKey = new Map<string, WaitingDemand>();

  override get size(): number {
    return this.#byKey.size;
  }

  override add(waiting: WaitingDemand): void {
    this.#byKey.set(waiting.demand.key, waiting);
  }

  override remove(key: string): WaitingDemand | undefined {
    const waiting = this.#byKey.get(key);
    this.#byKey.delete(key);
    return waiting;
  }

  override list(): WaitingDemand[] {
    return [...this.#byKey.values()];
  }

  override countTier(tier: Tier): number {
    return this.list().filter(({ demand }) => demand.tier === tier).length;
  }

  override takeFirst<P>(_nowMs: number, placer: Placer<P>): Placement<P> | undefined {
    for (const waiting of this.#byKey.values()) {
      if (!placer.hasCapacity(waiting.demand.tier, false)) return undefined;
      const target = placer.pickTarget(waiting, false);
      if (target !== undefined) {
        this.#byKey.delete(waiting.demand.key);
        return { waiting, target };
      }
    }
    return undefined;
  }

  override computeWorkAheadMs(): number {
    return this.computeWorkMs();
  }

  override computeWorkMs(): number {
    return this.list().reduce((sum, waiting) => sum + waiting.workMs, 0);
  }

  override pickVictim(): WaitingDemand | undefined {
    return this.list().at(-1);
  }
}
