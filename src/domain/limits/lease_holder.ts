/**
 * The borrower's view of an account's leases.
 *
 * @module
 */
import { RESTRICTION_DURATION_FACTOR } from './lease_times.js';
import { buildShare } from './share.js';
import type { AllowanceShare } from './share.js';

/** Maximum number of lease requests whose sending time is kept. */
const MAX_TRACKED_REQUESTS = 32;

/** A lease as received from the lender. */
export interface ReceivedLease {
  /** Incarnation of the lender. */
  readonly lenderIncarnation: string;
  /** Increases with each lease of that incarnation for this account. */
  readonly leaseNumber: number;
  /** Number of the newest request that the lender had received when it sent the lease. */
  readonly requestNumber: number;
  readonly share: AllowanceShare;
  /** Duration of the lease in milliseconds. */
  readonly validMs: number;
}

interface HeldLease extends ReceivedLease {
  /** Time in milliseconds until which the lease permits more than the base share. */
  readonly permissionEndsAtMs: number;
  /** Time in milliseconds until which the lease restricts to less than the base share. */
  readonly restrictionEndsAtMs: number;
}

/**
 * Holds the newest lease. Its permission starts when the request that it answers
 * was sent, so that it never ends later than in the lender's ledger, however late
 * the lease arrives. Its restriction starts when the lease is received, so that it
 * never ends earlier than in the lender's ledger.
 */
export class LeaseHolder {
  readonly #requestSentAtMs = new Map<number, number>();

  #held: HeldLease | undefined;

  /**
   * Records a lease request that is being sent.
   *
   * @param requestNumber - number of the request; numbers increase and are never reused
   * @param nowMs - monotonic time in milliseconds
   */
  recordRequest(requestNumber: number, nowMs: number): void {
    this.#requestSentAtMs.set(requestNumber, nowMs);
    const [oldest] = this.#requestSentAtMs.keys();
    if (this.#requestSentAtMs.size > MAX_TRACKED_REQUESTS && oldest !== undefined)
      this.#requestSentAtMs.delete(oldest);
  }

  /**
   * Replaces the held lease, unless the received one is no newer.
   *
   * @param lease - the received lease
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the lease was accepted
   */
  accept(lease: ReceivedLease, nowMs: number): boolean {
    const isOlder =
      lease.lenderIncarnation === this.#held?.lenderIncarnation &&
      lease.leaseNumber <= this.#held.leaseNumber;
    if (isOlder) return false;
    const sentAtMs = this.#requestSentAtMs.get(lease.requestNumber) ?? -Infinity;
    this.#held = {
      ...lease,
      permissionEndsAtMs: sentAtMs + lease.validMs,
      restrictionEndsAtMs: nowMs + RESTRICTION_DURATION_FACTOR * lease.validMs,
    };
    return true;
  }

  /**
   * @param lenderIncarnation - incarnation of a lender
   * @returns number of the held lease if that lender sent it; 0 otherwise
   */
  getLeaseNumber(lenderIncarnation: string): number {
    return this.#held?.lenderIncarnation === lenderIncarnation ? this.#held.leaseNumber : 0;
  }

  /**
   * Computes the share that may be used now.
   *
   * @param base - the share that applies without a lease
   * @param nowMs - monotonic time in milliseconds
   * @returns the share
   */
  computeShare(base: AllowanceShare, nowMs: number): AllowanceShare {
    const held = this.#held;
    if (!held || nowMs >= Math.max(held.restrictionEndsAtMs, held.permissionEndsAtMs)) return base;
    if (nowMs < held.permissionEndsAtMs) return held.share;
    return buildShare((kind) => Math.min(held.share[kind], base[kind]));
  }

  /**
   * Lists the times at which the share changes without a message: the ends of the
   * held lease's permission and restriction.
   *
   * @param afterMs - exclusive lower bound, in milliseconds
   * @param untilMs - inclusive upper bound, in milliseconds
   * @returns the times in ascending order, in milliseconds
   */
  listShareChanges(afterMs: number, untilMs: number): readonly number[] {
    if (!this.#held) return [];
    return [this.#held.permissionEndsAtMs, this.#held.restrictionEndsAtMs]
      .filter((atMs) => atMs > afterMs && atMs <= untilMs)
      .sort((a, b) => a - b);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a lease is in effect
   */
  hasLease(nowMs: number): boolean {
    return this.#held !== undefined && nowMs < this.#held.restrictionEndsAtMs;
  }
}
