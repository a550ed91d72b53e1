/**
 * Slots on backend servers, as the owner of a request gets them.
 *
 * @module
 */
import type { BackendServer } from '../../domain/contracts/types.js';
import type { Tier } from '../../domain/scheduling/tier.js';
import type { SlotOutcome } from '../../ports/mod.js';

/** What an owner asks a slot for. */
export interface SlotWish {
  readonly requestId: string;
  readonly serviceId: string;
  readonly accountId: string;
  readonly weight: number;
  readonly tier: Tier;
  /** Deadline on the local monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Chained block hashes of the prompt; empty for plain services. */
  readonly blockHashes: readonly string[];
  /** Backend servers that refused this request already. */
  readonly excluded: readonly string[];
  readonly traceparent: string | undefined;
  /** Ends the wait. */
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
  /** Until when the body may be handed over, on the local monotonic clock. */
  readonly validUntilMs: number;
  /** Gives the slot back; a second call does nothing. @param use - how it was used */
  release(use: SlotUse): void;
}

/** Grants slots. */
export abstract class SlotSource {
  /**
   * Waits for a slot.
   *
   * @param wish - what the slot is for
   * @returns the slot; it must be released
   * @throws SchedulerError that says `not_run`, at once when there will be no slot in time
   */
  abstract acquire(wish: SlotWish): Promise<Slot>;
}
