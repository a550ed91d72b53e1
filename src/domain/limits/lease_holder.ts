/**
 * The borrower's side of an account's leases.
 *
 * @module
 */
import { HOLD_FACTOR } from './lease_times.js';
import { buildShare } from './share.js';
import type { AllowanceShare } from './share.js';

/** Requests whose sending time is remembered. */
const MAX_REMEMBERED_REQUESTS = 32;

/** A lease as it arrived. */
export interface ReceivedLease {
  /** Incarnation of the entry host that lent it. */
  readonly home: string;
  /** Rises with each lease of that incarnation for this account. */
  readonly leaseNumber: number;
  /** The newest request that the home had heard when it lent. */
  readonly requestNumber: number;
  readonly share: AllowanceShare;
  readonly validMs: number;
}

interface HeldLease extends ReceivedLease {
  /** Until when more than the base share is permitted, in milliseconds. */
  readonly permittedUntilMs: number;
  /** Until when less than the base share binds, in milliseconds. */
  readonly boundUntilMs: number;
}

/**
 * Holds the newest lease. Its permission is counted from the sending of the
 * request that it answers, so that it never outlasts the home's own count,
 * however late it arrives; its restriction is counted from its receipt, so that
 * it never ends before the home's count does.
 */
export class LeaseHolder {
  readonly #sentAtMs = new Map<number, number>();

  #held: HeldLease | undefined;

  /**
   * Notes a request that is being sent.
   *
   * @param requestNumber - its number; numbers rise and none is used twice
   * @param nowMs - monotonic time in milliseconds
   */
  noteRequest(requestNumber: number, nowMs: number): void {
    this.#sentAtMs.set(requestNumber, nowMs);
    const [oldest] = this.#sentAtMs.keys();
    if (this.#sentAtMs.size > MAX_REMEMBERED_REQUESTS && oldest !== undefined)
      this.#sentAtMs.delete(oldest);
  }

  /**
   * Takes a lease in place of the one before.
   *
   * @param lease - the lease
   * @param nowMs - monotonic time in milliseconds
   * @returns false for one that is older than the held one
   */
  accept(lease: ReceivedLease, nowMs: number): boolean {
    const isOlder = lease.home === this.#held?.home && lease.leaseNumber <= this.#held.leaseNumber;
    if (isOlder) return false;
    const sentAtMs = this.#sentAtMs.get(lease.requestNumber) ?? -Infinity;
    this.#held = {
      ...lease,
      permittedUntilMs: sentAtMs + lease.validMs,
      boundUntilMs: nowMs + HOLD_FACTOR * lease.validMs,
    };
    return true;
  }

  /**
   * @param home - an incarnation
   * @returns number of the held lease, if that incarnation lent it; 0 otherwise
   */
  getHeldNumber(home: string): number {
    return this.#held?.home === home ? this.#held.leaseNumber : 0;
  }

  /**
   * Computes what may be used now.
   *
   * @param base - the share that holds without a lease
   * @param nowMs - monotonic time in milliseconds
   * @returns the share
   */
  computeShare(base: AllowanceShare, nowMs: number): AllowanceShare {
    const held = this.#held;
    if (!held || nowMs >= Math.max(held.boundUntilMs, held.permittedUntilMs)) return base;
    if (nowMs < held.permittedUntilMs) return held.share;
    return buildShare((kind) => Math.min(held.share[kind], base[kind]));
  }

  /**
   * Lists the moments at which the share changes by the passing of time alone.
   *
   * @param afterMs - only later ones
   * @param untilMs - none later than this
   * @returns the moments in order
   */
  listChanges(afterMs: number, untilMs: number): readonly number[] {
    if (!this.#held) return [];
    return [this.#held.permittedUntilMs, this.#held.boundUntilMs]
      .filter((atMs) => atMs > afterMs && atMs <= untilMs)
      .sort((a, b) => a - b);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether a lease is in force
   */
  isHolding(nowMs: number): boolean {
    return this.#held !== undefined && nowMs < this.#held.boundUntilMs;
  }
}
