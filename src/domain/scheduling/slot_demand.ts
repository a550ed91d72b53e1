/**
 * What waits in a dispatcher's queue.
 *
 * @module
 */
import type { Tier } from './tier.js';

/** One request that waits for a slot. Times are on the dispatcher's monotonic clock. */
export interface SlotDemand {
  /** Names the wait; unique within one queue. */
  readonly key: string;
  readonly accountId: string;
  /** The account's weight in fair sharing; above 0. */
  readonly weight: number;
  readonly tier: Tier;
  /** When it must be answered, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Since when it has waited, anywhere, in milliseconds. */
  readonly waitingSinceMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Chained block hashes of the prompt, first block first. */
  readonly blockHashes: readonly string[];
  /** Backend servers that refused it already. */
  readonly excluded: readonly string[];
}

/** A demand in a queue, with its predicted work. */
export interface WaitingDemand {
  readonly demand: SlotDemand;
  /** Predicted time that it will hold a slot, in milliseconds; above 0. */
  readonly workMs: number;
  /** From when on it is too late to wait any more, on the monotonic clock, in milliseconds. */
  readonly lateAtMs: number;
}
