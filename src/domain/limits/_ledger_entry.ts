/**
 * The allowance lender's record of one entry host and its leases.
 *
 * @module
 */
import { RESTRICTION_DURATION_FACTOR } from './lease_times.js';
import { buildShare, LimitKind } from './share.js';
import type { AllowanceShare } from './share.js';

/** A lease that was sent to the entry host. */
interface SentLease {
  readonly leaseNumber: number;
  readonly share: AllowanceShare;
  readonly sentAtMs: number;
}

/** Number of unconfirmed leases from which on the expired ones among them are merged into one. */
const MAX_UNCONFIRMED_LEASES = 8;

const ZERO_SHARE = buildShare(() => 0);

/** Tracks every lease that one entry host may still be acting on. */
export class LedgerEntry {
  /** Demand that its last request reported. */
  demand: AllowanceShare = ZERO_SHARE;

  /** When it last requested a lease, in milliseconds. */
  requestedAtMs = -Infinity;

  /** When its last message of any kind arrived, in milliseconds. */
  lastHeardAtMs = -Infinity;

  /** Number of its last request. */
  requestNumber = 0;

  /** Share of the lease that was last sent. */
  lastShare: AllowanceShare = ZERO_SHARE;

  /** When a lease was last sent, in milliseconds. */
  lastSentAtMs = -Infinity;

  #confirmed: SentLease | undefined;

  #unconfirmed: SentLease[] = [];

  #maxRunning = 0;

  /**
   * @param incarnation - the incarnation of the entry host that holds the leases
   * @param leaseDurationMs - duration of a lease in milliseconds
   */
  constructor(
    readonly incarnation: string,
    readonly leaseDurationMs: number,
  ) {}

  /** Records a lease that is being sent. */
  recordSentLease(leaseNumber: number, share: AllowanceShare, nowMs: number): void {
    this.#mergeExpiredLeases(nowMs);
    this.#unconfirmed.push({ leaseNumber, share, sentAtMs: nowMs });
    this.#maxRunning = Math.max(this.#maxRunning, share.inFlight);
    this.lastShare = share;
    this.lastSentAtMs = nowMs;
  }

  /**
   * Records which lease the entry host holds and how many requests it has in flight.
   * That number may have grown since the report was sent, up to the highest limit of
   * any lease that the entry host may still be acting on.
   */
  recordReport(heldLease: number, running: number, nowMs: number): void {
    const confirmed = this.#unconfirmed.find((lease) => lease.leaseNumber === heldLease);
    if (confirmed) {
      this.#confirmed = confirmed;
      this.#unconfirmed = this.#unconfirmed.filter((lease) => lease.leaseNumber > heldLease);
    }
    this.lastHeardAtMs = nowMs;
    this.#maxRunning = Math.max(running, this.#computeLeasedMax(LimitKind.InFlight, 0, nowMs));
  }

  /** @returns the maximum that it may use at any time during the next lease duration */
  computeMaxUse(kind: LimitKind, base: number, nowMs: number): number {
    const leasedMax = this.#computeLeasedMax(kind, base, nowMs);
    return this.isRestricted(nowMs) ? leasedMax : Math.max(leasedMax, base);
  }

  /** @returns what must be reserved for it: its maximum use, or its in-flight count if higher */
  computeReserve(kind: LimitKind, base: number, nowMs: number): number {
    const maxUse = this.computeMaxUse(kind, base, nowMs);
    return kind === LimitKind.InFlight ? Math.max(maxUse, this.#maxRunning) : maxUse;
  }

  /** @returns what it may use throughout the next lease duration, whatever lease is sent now */
  computeGuaranteed(kind: LimitKind, base: number, nowMs: number): number {
    const confirmed = this.#confirmed;
    return confirmed && this.isRestricted(nowMs) ? Math.min(confirmed.share[kind], base) : base;
  }

  /** @returns whether a confirmed lease restricts it throughout the next lease duration */
  isRestricted(nowMs: number): boolean {
    const confirmed = this.#confirmed;
    return (
      confirmed !== undefined &&
      confirmed.sentAtMs + RESTRICTION_DURATION_FACTOR * this.leaseDurationMs >=
        nowMs + this.leaseDurationMs
    );
  }

  /** Clears its in-flight count, after a silence longer than any request can run. */
  resetRunning(): void {
    this.#maxRunning = 0;
  }

  /** @returns whether the lease that was last sent may still be active */
  hasActiveLease(nowMs: number): boolean {
    return this.lastSentAtMs + this.leaseDurationMs > nowMs;
  }

  #computeLeasedMax(kind: LimitKind, base: number, nowMs: number): number {
    const leases = this.#confirmed ? [this.#confirmed, ...this.#unconfirmed] : this.#unconfirmed;
    return leases.reduce((max, lease) => {
      const isActive = lease.sentAtMs + this.leaseDurationMs > nowMs;
      const use = isActive ? lease.share[kind] : Math.min(lease.share[kind], base);
      return Math.max(max, use);
    }, 0);
  }

  /** Bounds the list of unconfirmed leases when leases are sent but not confirmed. */
  #mergeExpiredLeases(nowMs: number): void {
    if (this.#unconfirmed.length < MAX_UNCONFIRMED_LEASES) return;
    const active = this.#unconfirmed.filter(
      (lease) => lease.sentAtMs + this.leaseDurationMs > nowMs,
    );
    const expired = this.#unconfirmed.filter((lease) => !active.includes(lease));
    const newestExpired = expired.at(-1);
    if (!newestExpired) return;
    const share = buildShare((kind) => Math.max(...expired.map((lease) => lease.share[kind])));
    this.#unconfirmed = [{ ...newestExpired, share }, ...active];
  }
}
