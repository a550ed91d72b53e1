/**
 * What the allowance home knows of one entry host.
 *
 * @module
 */
import { HOLD_FACTOR } from './lease_times.js';
import { buildShare, LimitKind } from './share.js';
import type { AllowanceShare } from './share.js';

/** A lease that was sent. */
interface SentLease {
  readonly number: number;
  readonly share: AllowanceShare;
  readonly sentAtMs: number;
}

/** Unconfirmed leases whose permission has ended are kept as one beyond this count. */
const MAX_UNCONFIRMED = 8;

const NOTHING = buildShare(() => 0);

/** Counts every lease that one entry host may be acting on. */
export class LedgerEntry {
  /** Demand of its last request. */
  demand: AllowanceShare = NOTHING;

  /** When it last asked, in milliseconds. */
  askedAtMs = -Infinity;

  /** When anything last came from it, in milliseconds. */
  heardAtMs = -Infinity;

  /** Number of its last request. */
  requestNumber = 0;

  /** Share that was last sent. */
  lastShare: AllowanceShare = NOTHING;

  /** When a lease was last sent, in milliseconds. */
  lastSentAtMs = -Infinity;

  #confirmed: SentLease | undefined;

  #unconfirmed: SentLease[] = [];

  #maxRunning = 0;

  /**
   * @param incarnation - whose leases
   * @param lifeMs - life of a lease in milliseconds
   */
  constructor(
    readonly incarnation: string,
    readonly lifeMs: number,
  ) {}

  /** Notes a lease that is being sent. */
  noteSent(number: number, share: AllowanceShare, nowMs: number): void {
    this.#mergeUnconfirmed(nowMs);
    this.#unconfirmed.push({ number, share, sentAtMs: nowMs });
    this.#maxRunning = Math.max(this.#maxRunning, share.inFlight);
    this.lastShare = share;
    this.lastSentAtMs = nowMs;
  }

  /**
   * Takes in which lease it holds, and how many requests it has in flight. The
   * count may have grown since, up to any lease that it may still act on.
   */
  noteReport(heldLease: number, running: number, nowMs: number): void {
    const held = this.#unconfirmed.find((lease) => lease.number === heldLease);
    if (held) {
      this.#confirmed = held;
      this.#unconfirmed = this.#unconfirmed.filter((lease) => lease.number > heldLease);
    }
    this.heardAtMs = nowMs;
    this.#maxRunning = Math.max(running, this.#computeLent(LimitKind.InFlight, 0, nowMs));
  }

  /** @returns the most that it may use at any moment of the coming lease life */
  computeUse(kind: LimitKind, base: number, nowMs: number): number {
    const lent = this.#computeLent(kind, base, nowMs);
    return this.isBound(nowMs) ? lent : Math.max(lent, base);
  }

  /** @returns what has to be kept for it: its use, or what it has in flight already */
  computeReserve(kind: LimitKind, base: number, nowMs: number): number {
    const use = this.computeUse(kind, base, nowMs);
    return kind === LimitKind.InFlight ? Math.max(use, this.#maxRunning) : use;
  }

  /** @returns what it may use through the whole coming lease life, whatever is sent now */
  computeSure(kind: LimitKind, base: number, nowMs: number): number {
    const confirmed = this.#confirmed;
    return confirmed && this.isBound(nowMs) ? Math.min(confirmed.share[kind], base) : base;
  }

  /** @returns whether a confirmed lease restricts it for the whole coming lease life */
  isBound(nowMs: number): boolean {
    const confirmed = this.#confirmed;
    return (
      confirmed !== undefined &&
      confirmed.sentAtMs + HOLD_FACTOR * this.lifeMs >= nowMs + this.lifeMs
    );
  }

  /** Forgets what it had in flight: it was silent for longer than any request lasts. */
  expireRunning(): void {
    this.#maxRunning = 0;
  }

  /** @returns whether a lease may still permit something */
  isLent(nowMs: number): boolean {
    return this.lastSentAtMs + this.lifeMs > nowMs;
  }

  #computeLent(kind: LimitKind, base: number, nowMs: number): number {
    const leases = this.#confirmed ? [this.#confirmed, ...this.#unconfirmed] : this.#unconfirmed;
    return leases.reduce((most, lease) => {
      const permits = lease.sentAtMs + this.lifeMs > nowMs;
      const use = permits ? lease.share[kind] : Math.min(lease.share[kind], base);
      return Math.max(most, use);
    }, 0);
  }

  /** Keeps the list short where leases arrive and confirmations don't. */
  #mergeUnconfirmed(nowMs: number): void {
    if (this.#unconfirmed.length < MAX_UNCONFIRMED) return;
    const lent = this.#unconfirmed.filter((lease) => lease.sentAtMs + this.lifeMs > nowMs);
    const ended = this.#unconfirmed.filter((lease) => !lent.includes(lease));
    const last = ended.at(-1);
    if (!last) return;
    const share = buildShare((kind) => Math.max(...ended.map((lease) => lease.share[kind])));
    this.#unconfirmed = [{ ...last, share }, ...lent];
  }
}
