/**
 * A queue in order of arrival: the baseline without tiers.
 *
 * @module
 */
import type { Tier } from './tier.js';
import type { WaitingDemand } from './slot_demand.js';
import { WaitingQueue } from './waiting_queue.js';
import type { Placement, Placer } from './waiting_queue.js';

/** First come, first served, whatever the tier, account or deadline. */
export class ArrivalQueue extends WaitingQueue {
  /** In order of arrival, as maps keep it. */
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
      if (!placer.hasRoom(waiting.demand.tier, false)) return undefined;
      const place = placer.pickPlace(waiting, false);
      if (place !== undefined) {
        this.#byKey.delete(waiting.demand.key);
        return { waiting, place };
      }
    }
    return undefined;
  }

  override computeWorkAhead(): number {
    return this.computeWork();
  }

  override computeWork(): number {
    return this.list().reduce((sum, waiting) => sum + waiting.workMs, 0);
  }

  override pickVictim(): WaitingDemand | undefined {
    return this.list().at(-1);
  }
}
