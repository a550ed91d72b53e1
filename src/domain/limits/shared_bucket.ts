/**
 * A token bucket of one account that is replicated over many entry hosts, which
 * report their spending to each other.
 *
 * @module
 */

import { TokenBucket } from './token_bucket.js';

const MS_PER_SECOND = 1000;

/**
 * Initial level as a fraction of the capacity. A process that has just started
 * doesn't know what was spent before; a full bucket after each restart would let
 * an account spend its burst again and again.
 */
const INITIAL_FILL_FRACTION = 0.2;

/**
 * Highest level that a request ever needs, as a fraction of the capacity. A larger
 * request takes the rest as debt, which later refills pay back, so that a long
 * prompt isn't refused forever and the rate is still kept over time.
 */
const LARGE_REQUEST_FRACTION = 0.5;

/**
 * Fraction of the capacity that one entry host may spend within the peer timeout.
 * Until that timeout detects a partition, both sides of it count on the whole level;
 * this bound keeps what they spend twice within the tolerance of the limit.
 */
const LOCAL_BURST_FRACTION = 0.5;

/** The limit of one account, across all entry hosts. */
export interface SharedBucketLimit {
  /** Refill rate in units per second. */
  readonly ratePerSecond: number;
  /** Maximum number of units that accumulate. */
  readonly capacity: number;
}

/** State of the reports from one source. */
interface PeerSpending {
  /** Total of the newest report. */
  totalUnits: number;
  reportedAtMs: number;
  /** Units of its reports that were subtracted from the level. */
  appliedUnits: number;
}

/** A peer's report of the units that were spent. */
export interface SpendingReport {
  /** ID of the peer's process and the hosts that it reports for; totals per source only rise. */
  readonly source: string;
  /** Units spent since the process started. */
  readonly totalUnits: number;
  /**
   * Whether the peer reports only its own spending and all of it since its start is
   * new. A sum over other hosts, or the total of a peer that was reached before,
   * contains units that earlier reports have already covered.
   */
  readonly isNewProcess: boolean;
  /** Whether the peer is a member of the group for which this entry host relays reports. */
  readonly isMember: boolean;
}

/** Options of {@link SharedBucket}. */
export interface SharedBucketOptions {
  readonly limit: SharedBucketLimit;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Silence after which a peer counts as unreachable, in milliseconds. */
  readonly peerTimeoutMs: number;
}

/**
 * Replica of a token bucket that all entry hosts share. Each entry host keeps its
 * own estimate of the level: it refills the level, subtracts its own spending at
 * once, and subtracts the spending of peers when they report it. Reports are running
 * totals, so the next report makes up for a lost one.
 *
 * Entry hosts that can't reach each other would each refill at the whole rate.
 * Therefore the rate and the capacity are scaled by the fraction of entry hosts that
 * are reachable, so that the sides of a partition together never refill more than
 * the whole rate. Spending at hosts while they are unreachable is covered by the
 * refill that was left out meanwhile, and isn't subtracted again afterwards.
 */
export class SharedBucket {
  #limit: SharedBucketLimit;

  readonly #peerTimeoutMs: number;

  readonly #peers = new Map<string, PeerSpending>();

  readonly #startedAtMs: number;

  #reachableFraction = 1;

  #level: number;

  #refilledAtMs: number;

  #totalUnits = 0;

  /** Units reported by the members of this host's group. */
  #memberUnits = 0;

  /** Units reported by all peers, members included. */
  #peerUnits = 0;

  readonly #localBucket: TokenBucket;

  /** @param options - the limit, the time and the peer timeout */
  constructor(options: SharedBucketOptions) {
    this.#limit = options.limit;
    this.#peerTimeoutMs = options.peerTimeoutMs;
    this.#startedAtMs = options.nowMs;
    this.#refilledAtMs = options.nowMs;
    this.#level = options.limit.capacity * INITIAL_FILL_FRACTION;
    this.#localBucket = new TokenBucket({ ...this.#computeLocalLimit(), nowMs: options.nowMs });
  }

  /** Units that this entry host has spent since its start, as it reports to peers. */
  get totalUnits(): number {
    return this.#totalUnits;
  }

  /** Units that this entry host and the members of its group have spent. */
  get groupUnits(): number {
    return this.#totalUnits + this.#memberUnits;
  }

  /**
   * @param source - source to leave out, as in {@link SpendingReport}
   * @returns units that this entry host and all other sources have spent
   */
  computeUnitsExcept(source: string): number {
    const appliedUnits = this.#peers.get(source)?.appliedUnits ?? 0;
    return this.#totalUnits + this.#peerUnits - appliedUnits;
  }

  /** @param limit - the new limit. @param nowMs - monotonic time in milliseconds */
  setLimit(limit: SharedBucketLimit, nowMs: number): void {
    this.#refill(nowMs);
    this.#limit = limit;
    const { rate, capacity } = this.#computeLocalLimit();
    this.#localBucket.setRate(rate, capacity, nowMs);
    this.#clampLevel();
  }

  /**
   * @param reachableFraction - fraction of the known entry hosts that are reachable, this one
   *   included; in (0, 1]
   * @param nowMs - monotonic time in milliseconds
   */
  setReachableFraction(reachableFraction: number, nowMs: number): void {
    if (reachableFraction === this.#reachableFraction) return;
    this.#refill(nowMs);
    this.#reachableFraction = reachableFraction;
    this.#clampLevel();
  }

  /**
   * Spends units if they are available.
   *
   * @param units - number of units
   * @param nowMs - monotonic time in milliseconds
   * @returns 0 if they were spent; otherwise the estimated wait in milliseconds
   */
  take(units: number, nowMs: number): number {
    this.#refill(nowMs);
    const needed = Math.min(units, this.#capacity * LARGE_REQUEST_FRACTION);
    const missing = needed - this.#level;
    if (missing > 0) return (missing / this.#ratePerSecond) * MS_PER_SECOND;
    const localWaitMs = this.#localBucket.computeWaitMs(units, nowMs);
    if (localWaitMs > 0) return localWaitMs;
    this.#localBucket.take(units, nowMs);
    this.#spend(units);
    return 0;
  }

  /**
   * Returns the units of a request that never ran.
   *
   * @param units - number of units
   */
  release(units: number): void {
    this.#spend(-units);
  }

  /**
   * Subtracts the new units of a peer's report from the level.
   *
   * @param report - the peer's report
   * @param nowMs - monotonic time in milliseconds
   */
  applyPeerReport(report: SpendingReport, nowMs: number): void {
    this.#refill(nowMs);
    const { source, totalUnits, isMember } = report;
    const known = this.#peers.get(source);
    const newUnits = this.#computeNewUnits(known, report, nowMs);
    this.#level -= newUnits;
    this.#clampLevel();
    this.#peerUnits += newUnits;
    if (isMember) this.#memberUnits += newUnits;
    const totalAppliedUnits = (known?.appliedUnits ?? 0) + newUnits;
    this.#peers.set(source, { totalUnits, reportedAtMs: nowMs, appliedUnits: totalAppliedUnits });
  }

  #computeNewUnits(known: PeerSpending | undefined, report: SpendingReport, nowMs: number): number {
    const { totalUnits, isNewProcess } = report;
    if (known) {
      const wasSilent = nowMs - known.reportedAtMs > this.#peerTimeoutMs;
      return wasSilent ? 0 : totalUnits - known.totalUnits;
    }
    // Within the peer timeout after the start, a new peer may be older than this process. Its
    // total then covers an earlier time, for which the low initial level makes allowance.
    const mayPredateThisProcess = nowMs - this.#startedAtMs < this.#peerTimeoutMs;
    return mayPredateThisProcess || !isNewProcess ? 0 : Math.min(totalUnits, this.#limit.capacity);
  }

  get #ratePerSecond(): number {
    return this.#limit.ratePerSecond * this.#reachableFraction;
  }

  get #capacity(): number {
    return this.#limit.capacity * this.#reachableFraction;
  }

  #computeLocalLimit(): { readonly rate: number; readonly capacity: number } {
    const capacity = this.#limit.capacity * LOCAL_BURST_FRACTION;
    return { capacity, rate: (capacity / this.#peerTimeoutMs) * MS_PER_SECOND };
  }

  #spend(units: number): void {
    this.#totalUnits += units;
    this.#level -= units;
    this.#clampLevel();
  }

  #clampLevel(): void {
    this.#level = Math.min(this.#level, this.#capacity);
  }

  #refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
    this.#level += (this.#ratePerSecond * elapsedMs) / MS_PER_SECOND;
    this.#clampLevel();
  }
}
