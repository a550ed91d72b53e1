/**
 * Entries of a dispatcher's queue.
 *
 * @module
 */
import type { Tier } from './tier.js';

/** One request for a slot. Times are on the dispatcher's monotonic clock. */
export interface SlotDemand {
  /** Identifies the demand; unique within one queue. */
  readonly key: string;
  readonly accountId: string;
  /** The account's weight in fair sharing; above 0. */
  readonly weight: number;
  readonly tier: Tier;
  /** Deadline of the answer, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Time since which the request has waited on any entry host, in milliseconds. */
  readonly waitingSinceMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Chained block hashes of the prompt, first block first. */
  readonly blockHashes: readonly string[];
  /** Backend servers that have already refused the request. */
  readonly excluded: readonly string[];
}

/** A queued demand with its predicted work. */
export interface WaitingDemand {
  readonly demand: SlotDemand;
  /** Predicted time that it will hold a slot, in milliseconds; above 0. */
  readonly workMs: number;
  /** Latest useful start, in monotonic milliseconds; waiting any longer is pointless. */
  readonly latestStartAtMs: number;
}
