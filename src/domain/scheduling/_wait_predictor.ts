/**
 * Predicts waiting times in the queue of one dispatch group.
 *
 * @module
 */
import { DrainMeter } from './drain_meter.js';
import type { ServerPool } from './server_pool.js';
import type { SlotDemand } from './slot_demand.js';
import type { Tier } from './tier.js';
import type { WaitingQueue } from './waiting_queue.js';

/** Predicts waiting times from the queued work and the measured drain rate. */
export class WaitPredictor {
  readonly #queue: WaitingQueue;

  readonly #pool: ServerPool;

  readonly #drainMeter: DrainMeter;

  /**
   * @param queue - the group's queue
   * @param pool - backend servers that serve the queue
   * @param nowMs - monotonic time in milliseconds
   */
  constructor(queue: WaitingQueue, pool: ServerPool, nowMs: number) {
    this.#queue = queue;
    this.#pool = pool;
    this.#drainMeter = new DrainMeter(nowMs);
  }

  /**
   * Accounts for the time since the last call.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param completedWorkMs - predicted work of the slots released now, in
   *   milliseconds
   */
  observe(nowMs: number, completedWorkMs = 0): void {
    this.#drainMeter.observe(nowMs, this.#queue.size > 0, completedWorkMs);
  }

  /**
   * Predicts how long the queue of a tier and all higher tiers takes to drain.
   *
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns time in milliseconds; 0 if none of them has waiting requests, even
   *   without capacity
   */
  predictBacklogMs(tier: Tier, nowMs: number): number {
    return this.#queue.computeWorkMs(tier) / this.#computeDrainRate(nowMs);
  }

  /**
   * Predicts how long one more request of a tier would wait.
   *
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 if there is capacity
   */
  predictTierWaitMs(tier: Tier, nowMs: number): number {
    return this.#predictMs(this.#queue.computeWorkMs(tier), tier, nowMs);
  }

  /**
   * Predicts how long a new request would wait.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 if there is capacity
   */
  predictWaitMs(demand: SlotDemand, nowMs: number): number {
    return this.#predictMs(this.#queue.computeWorkAheadMs(demand), demand.tier, nowMs);
  }

  #predictMs(workMs: number, tier: Tier, nowMs: number): number {
    if (workMs === 0 && this.#pool.hasCapacity(tier, false, nowMs)) return 0;
    // Even the first request in the queue waits until one of the running
    // requests ends.
    return (workMs + this.#pool.meanHeldWorkMs) / this.#computeDrainRate(nowMs);
  }

  #computeDrainRate(nowMs: number): number {
    return this.#drainMeter.computeRate(this.#pool.computeWindow(nowMs));
  }
}
