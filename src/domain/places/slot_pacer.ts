/**
 * One entry host's part of the slots of a server that may turn few requests away.
 *
 * @module
 */
import { SlotLoans } from './slot_loans.js';
import type { EndedLoan } from './slot_loans.js';

/**
 * Shortest time between two requests, in milliseconds: longer than a refusal takes to arrive, so
 * that a host learns of one before it causes the next.
 */
const SEND_INTERVAL_MS = 10;

/** Time for which a request that was broken off may still hold its slot, in milliseconds. */
export const LINGER_MS = 1_000;

/**
 * Time from the first word of such a limit in which servers may still be overfilled from before,
 * and the pause after a refusal until then, in milliseconds.
 */
const SETTLE_MS = 2_500;
const SETTLE_PAUSE_MS = 250;

/** Time for which a slot must be free before it is lent, in milliseconds. */
const IDLE_MS = 20;

/** What one entry host may send to such a server. */
export interface SlotQuota {
  /** Number of slots that this host may use at a time. */
  readonly slots: number;
  /** Time without requests after a refusal, in milliseconds. */
  readonly pauseMs: number;
}

/** Tracks whether this entry host may send another request. */
export class SlotPacer {
  #quota: SlotQuota | undefined;

  /** When the server began to set such a limit. */
  #pacedSinceMs = Number.NEGATIVE_INFINITY;

  #sentAtMs = Number.NEGATIVE_INFINITY;

  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  /** When all own slots were last seen in use. */
  #fullAtMs = Number.NEGATIVE_INFINITY;

  /** When requests that were broken off give their slots back, oldest first. */
  readonly #lingerUntilMs: number[] = [];

  /** Slots that this host lends or borrows. */
  readonly loans = new SlotLoans();

  /**
   * @param quota - what this host may send; undefined: the server sets no such limit
   * @param nowMs - monotonic time in milliseconds
   */
  configure(quota: SlotQuota | undefined, nowMs: number): void {
    if (quota && !this.#quota) this.#pacedSinceMs = nowMs;
    this.#quota = quota;
  }

  /** @returns what this host may send, for the log; empty if the server sets no such limit */
  describe(): { readonly ownSlots?: number } {
    return this.#quota ? { ownSlots: this.#quota.slots } : {};
  }

  /** Whether this host may use only its own part of the slots. */
  get isPaced(): boolean {
    return this.#quota !== undefined;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param ownInFlight - requests of this host on the server
   * @returns whether one more request may be sent now
   */
  maySend(nowMs: number, ownInFlight: number): boolean {
    if (!this.#quota) return true;
    const ownFree = this.#updateLoans(nowMs, ownInFlight);
    const isDue = nowMs - this.#sentAtMs >= SEND_INTERVAL_MS && nowMs >= this.#pausedUntilMs;
    if (!isDue || ownFree > 0) return isDue;
    return -ownFree <= this.loans.usedCount && this.loans.mayStart(nowMs);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param ownInFlight - requests of this host on the server
   * @returns number of slots of this host that it may lend
   */
  countLendable(nowMs: number, ownInFlight: number): number {
    if (!this.#quota || nowMs < this.#pausedUntilMs) return 0;
    const ownFree = this.#updateLoans(nowMs, ownInFlight);
    return nowMs - this.#fullAtMs >= IDLE_MS ? ownFree : 0;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param ownInFlight - requests of this host on the server
   * @param isNeeded - whether a call waits for a slot
   * @returns borrowed slots that this host gives back
   */
  takeUnusedLoans(nowMs: number, ownInFlight: number, isNeeded: boolean): readonly EndedLoan[] {
    const ownFree = this.#updateLoans(nowMs, ownInFlight);
    // Without a limit, requests need no slot of another host.
    if (!this.#quota) this.loans.updateUse(0);
    else if (ownFree > 0 && isNeeded) return this.loans.takeUnused(nowMs, false);
    return this.loans.takeUnused(nowMs, isNeeded && this.#quota !== undefined);
  }

  /** @returns own slots that are free; negative: number of requests that hold borrowed slots */
  #updateLoans(nowMs: number, ownInFlight: number): number {
    while ((this.#lingerUntilMs[0] ?? Infinity) <= nowMs) this.#lingerUntilMs.shift();
    const ownSlots = (this.#quota?.slots ?? 0) - this.loans.countLent(nowMs);
    const ownFree = ownSlots - ownInFlight - this.#lingerUntilMs.length;
    if (ownFree <= 0) this.#fullAtMs = nowMs;
    this.loans.updateUse(Math.max(0, -ownFree));
    return ownFree;
  }

  /** @param nowMs - monotonic time at which a request is sent */
  recordSent(nowMs: number): void {
    this.#sentAtMs = nowMs;
  }

  /** @param nowMs - monotonic time at which the server refused a request for lack of room */
  recordDeclined(nowMs: number): void {
    if (!this.#quota) return;
    this.loans.recordDeclined();
    const isSettling = nowMs - this.#pacedSinceMs < SETTLE_MS;
    const pauseMs = isSettling ? SETTLE_PAUSE_MS : this.#quota.pauseMs;
    this.#pausedUntilMs = nowMs + pauseMs;
  }

  /**
   * @param nowMs - monotonic time at which a request ended
   * @param ownInFlight - requests of this host that are left on the server
   */
  recordEnd(nowMs: number, ownInFlight: number): void {
    if (this.#quota) this.#updateLoans(nowMs, ownInFlight + 1);
  }

  /** @param nowMs - monotonic time at which a request was broken off */
  recordBrokenOff(nowMs: number): void {
    if (this.#quota) this.#lingerUntilMs.push(nowMs + LINGER_MS);
  }
}
