/**
 * Predicted waits of one dispatch group.
 *
 * @module
 */
import { DrainMeter } from './drain_meter.js';
import type { ServerPool } from './server_pool.js';
import type { SlotDemand } from './slot_demand.js';
import type { Tier } from './tier.js';
import type { WaitingQueue } from './waiting_queue.js';

/** Predicts waits from the queue's work and the measured drain rate. */
export class WaitPredictor {
  readonly #queue: WaitingQueue;

  readonly #pool: ServerPool;

  readonly #drain: DrainMeter;

  /**
   * @param queue - what waits
   * @param pool - who serves it
   * @param nowMs - monotonic time in milliseconds
   */
  constructor(queue: WaitingQueue, pool: ServerPool, nowMs: number) {
    this.#queue = queue;
    this.#pool = pool;
    this.#drain = new DrainMeter(nowMs);
  }

  /**
   * Takes in the time since the last call.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param doneMs - predicted work of slots that were given back now, in milliseconds
   */
  observe(nowMs: number, doneMs = 0): void {
    this.#drain.observe(nowMs, this.#queue.size > 0, doneMs);
  }

  /**
   * Predicts how long the queue of a tier and those above takes to drain.
   *
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns time in milliseconds; 0 when none waits, whether or not there is room
   */
  predictBacklog(tier: Tier, nowMs: number): number {
    return this.#queue.computeWork(tier) / this.#computeRate(nowMs);
  }

  /**
   * Predicts how long one more request of a tier would wait.
   *
   * @param tier - the tier
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 when there is room
   */
  predictTierWait(tier: Tier, nowMs: number): number {
    return this.#predict(this.#queue.computeWork(tier), tier, nowMs);
  }

  /**
   * Predicts how long a new request would wait.
   *
   * @param demand - the request
   * @param nowMs - monotonic time in milliseconds
   * @returns the wait in milliseconds; 0 when there is room
   */
  predictWait(demand: SlotDemand, nowMs: number): number {
    return this.#predict(this.#queue.computeWorkAhead(demand), demand.tier, nowMs);
  }

  #predict(workMs: number, tier: Tier, nowMs: number): number {
    if (workMs === 0 && this.#pool.hasRoom(tier, false, nowMs)) return 0;
    // Even the first in the queue waits until one of those that run has ended.
    return (workMs + this.#pool.meanHeldWorkMs) / this.#computeRate(nowMs);
  }

  #computeRate(nowMs: number): number {
    return this.#drain.computeRate(this.#pool.computeWindow(nowMs));
  }
}
