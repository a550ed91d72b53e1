/**
 * Acquisition of slots on backend servers by the owners of requests.
 *
 * @module
 */
import type { BackendServer } from '../../domain/contracts/types.js';
import type { Tier } from '../../domain/scheduling/tier.js';
import type { SlotOutcome } from '../../ports/mod.js';

/** The request for which an owner needs a slot. */
export interface SlotRequest {
  readonly requestId: string;
  readonly serviceId: string;
  readonly accountId: string;
  /** Weight of the account in fair queueing. */
  readonly weight: number;
  readonly tier: Tier;
  /** Deadline on the local monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Chained block hashes of the prompt; empty for plain services. */
  readonly blockHashes: readonly string[];
  /** IDs of the backend servers that have already refused this request. */
  readonly excluded: readonly string[];
  readonly traceparent: string | undefined;
  /** Aborts the wait. */
  readonly signal: AbortSignal;
}

/** How a slot was used; see `SlotReleaseMessage` for the fields. */
export interface SlotUse {
  readonly outcome: SlotOutcome;
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly outputTokens: number;
}

/** A granted slot. */
export interface Slot {
  readonly backendServer: BackendServer;
  /** Time until which the body may be handed over, on the local monotonic clock. */
  readonly validUntilMs: number;
  /** Releases the slot; a second call does nothing. @param use - how it was used */
  release(use: SlotUse): void;
}

/** Grants slots. */
export abstract class SlotSource {
  /**
   * Waits for a slot.
   *
   * @param request - what the slot is for
   * @returns the slot; it must be released
   * @throws SchedulerError with run outcome `not_run`; at once if no slot is expected in time
   */
  abstract acquire(request: SlotRequest): Promise<Slot>;
}
