/**
 * The ledger by which one entry host lends shares of an account's limits.
 *
 * @module
 */
import type { AccountLimits } from '../contracts/types.js';
import { computeMaxMinShares } from './_max_min_shares.js';
import { LedgerEntry } from './_ledger_entry.js';
import type { DemandReport, LedgerContext, LedgerGrant } from './ledger_types.js';
import { ACK_REQUEST_NUMBER, LEASE_DURATION_MS } from './lease_times.js';
import { buildShare, listBaseShares, computeFloorShare, LIMIT_KINDS, LimitKind } from './share.js';
import type { AllowanceShare } from './share.js';

/** Factor on the measured demand, so that requests of a growing demand aren't refused. */
const DEMAND_HEADROOM_FACTOR = 1.25;

/** Smallest relative change of a share for which a lease is sent without a request. */
const MIN_CHANGE_FACTOR = 1.05;

/** Lease durations without a request after which an entry host has no demand. */
const DEMAND_EXPIRY_LEASES = 1;

/** Age, in lease durations, from which a lease that restricts a host without demand is renewed. */
const RENEWAL_FRACTION = 1 / 2;
/** Age, in lease durations, before which no lease is replaced without a request. */
const RESEND_FRACTION = 1 / 16;

const ZERO_SHARE = buildShare(() => 0);

/** Base shares and the inputs from which they were computed. */
interface CachedBaseShares {
  readonly limits: AccountLimits;
  readonly listedIds: readonly string[];
  readonly shares: ReadonlyMap<string, AllowanceShare>;
}

/** Options of {@link AllowanceLedger}. */
export interface AllowanceLedgerOptions {
  readonly accountId: string;
  /**
   * Monotonic time in milliseconds before which nothing is lent, since leases of a
   * previous lender, or of a previous incarnation of this one, may still be active.
   */
  readonly lendingStartsAtMs: number;
  /**
   * Returns the next lease number. Numbers must also increase from one ledger of a
   * process to the next, or a borrower would mistake a new lease for an old one.
   */
  readonly nextLeaseNumber: () => number;
  /** Duration of a lease in milliseconds. Default: {@link LEASE_DURATION_MS}. */
  readonly leaseDurationMs?: number;
}

/**
 * Lends what listed entry hosts don't use of an account's limits.
 *
 * Invariant: at any time, the shares that all entry hosts may be acting on sum to
 * no more than the limits, even if messages are lost or late. An entry host counts
 * with its base share, unless it has confirmed a lower lease that restricts it for
 * longer than the freed part is lent to others.
 */
export class AllowanceLedger {
  readonly #accountId: string;

  readonly #lendingStartsAtMs: number;

  readonly #leaseMs: number;

  readonly #entries = new Map<string, LedgerEntry>();

  readonly #nextLeaseNumber: () => number;

  #baseShares: CachedBaseShares | undefined;

  #lastRequestAtMs = -Infinity;

  /** @param options - the account, the start of lending, the lease numbers and duration */
  constructor(options: AllowanceLedgerOptions) {
    this.#accountId = options.accountId;
    this.#lendingStartsAtMs = options.lendingStartsAtMs;
    this.#nextLeaseNumber = options.nextLeaseNumber;
    this.#leaseMs = options.leaseDurationMs ?? LEASE_DURATION_MS;
  }

  /**
   * Records a report of an entry host.
   *
   * @param report - the host's demand and the lease that it holds
   * @param nowMs - monotonic time in milliseconds
   */
  recordReport(report: DemandReport, nowMs: number): void {
    const entry = this.#getOrCreateEntry(report.entryHostId, report.incarnation);
    entry.recordReport(report.heldLease, report.running, nowMs);
    if (report.requestNumber === ACK_REQUEST_NUMBER) return;
    entry.demand = report.demand;
    entry.requestedAtMs = nowMs;
    entry.requestNumber = report.requestNumber;
    this.#lastRequestAtMs = nowMs;
  }

  /**
   * Lends a share to one entry host.
   *
   * @param entryHostId - ID of the borrower
   * @param context - the present limits, hosts and time
   * @returns the lease; undefined if nothing can be lent and the base share applies
   */
  grant(entryHostId: string, context: LedgerContext): LedgerGrant | undefined {
    const { nowMs } = context;
    const incarnation = this.#pickIncarnation(entryHostId, context);
    const isLendable = nowMs >= this.#lendingStartsAtMs && context.listedIds.includes(entryHostId);
    if (!isLendable || incarnation === undefined) return undefined;
    const entry = this.#getOrCreateEntry(entryHostId, incarnation);
    const share = this.#computeGrantShare(
      entryHostId,
      this.#computeTargets(context).get(entryHostId),
      this.#computeTotalReserve(context),
      context,
    );
    const leaseNumber = this.#nextLeaseNumber();
    entry.recordSentLease(leaseNumber, share, nowMs);
    return {
      entryHostId,
      incarnation,
      leaseNumber,
      requestNumber: entry.requestNumber,
      share,
      validMs: this.#leaseMs,
    };
  }

  /**
   * Lists the entry hosts to which a lease should be sent without a request: those
   * that must give up capacity for others, and those that can get more than before.
   *
   * @param context - the present limits, hosts and time
   * @returns the IDs of the entry hosts
   */
  listDueHosts(context: LedgerContext): readonly string[] {
    if (context.nowMs < this.#lendingStartsAtMs || !this.#hasUnmetDemand(context)) return [];
    const targets = this.#computeTargets(context);
    const ids = context.listedIds.filter((id) => context.reachableIncarnations.has(id));
    const reserved = this.#computeTotalReserve(context);
    return ids.filter((id) => this.#isLeaseDue(id, targets.get(id), reserved, context));
  }

  /**
   * @param context - the present limits, hosts and time
   * @returns whether the ledger may be dropped: no lease is active and no host requests one
   */
  isIdle(context: LedgerContext): boolean {
    this.#resetSilentEntries(context);
    const { nowMs } = context;
    if (nowMs - this.#lastRequestAtMs < 2 * this.#leaseMs) return false;
    return [...this.#entries].every(([id, entry]) => {
      const base = this.#getBaseShare(id, context).inFlight;
      const reserve = entry.computeReserve(LimitKind.InFlight, base, nowMs);
      return !entry.hasActiveLease(nowMs) && reserve <= base;
    });
  }

  /** Picks the incarnation that reported last; after a silence, that known to membership. */
  #pickIncarnation(id: string, context: LedgerContext): string | undefined {
    const entry = this.#entries.get(id);
    const isHeard = entry !== undefined && context.nowMs - entry.lastHeardAtMs < this.#leaseMs;
    return isHeard
      ? entry.incarnation
      : (context.reachableIncarnations.get(id) ?? entry?.incarnation);
  }

  #getOrCreateEntry(id: string, incarnation: string): LedgerEntry {
    const existing = this.#entries.get(id);
    if (existing?.incarnation === incarnation) return existing;
    const entry = new LedgerEntry(incarnation, this.#leaseMs);
    this.#entries.set(id, entry);
    return entry;
  }

  /** Returns a base share; all of them are cached until the limits or the host list change. */
  #getBaseShare(id: string, context: LedgerContext): AllowanceShare {
    const { limits, listedIds } = context;
    if (this.#baseShares?.limits !== limits || this.#baseShares.listedIds !== listedIds) {
      const shares = listBaseShares(limits, this.#accountId, listedIds);
      this.#baseShares = { limits, listedIds, shares };
    }
    return this.#baseShares.shares.get(id) ?? ZERO_SHARE;
  }

  #hasDemand(id: string, nowMs: number): boolean {
    const entry = this.#entries.get(id);
    if (!entry || nowMs - entry.requestedAtMs > DEMAND_EXPIRY_LEASES * this.#leaseMs) return false;
    return LIMIT_KINDS.some((kind) => entry.demand[kind] > 0);
  }

  /** Checks whether the demand of any entry host, headroom included, exceeds its base share. */
  #hasUnmetDemand(context: LedgerContext): boolean {
    return context.listedIds.some((id) => {
      if (!this.#hasDemand(id, context.nowMs)) return false;
      const base = this.#getBaseShare(id, context);
      const demand = this.#entries.get(id)?.demand;
      return LIMIT_KINDS.some(
        (kind) => (demand?.[kind] ?? 0) * DEMAND_HEADROOM_FACTOR > base[kind],
      );
    });
  }

  /** Computes the share that each listed entry host should eventually have. */
  #computeTargets(context: LedgerContext): ReadonlyMap<string, AllowanceShare> {
    const { listedIds, reachableIncarnations: reachable, nowMs } = context;
    const baseShares = new Map(listedIds.map((id) => [id, this.#getBaseShare(id, context)]));
    const floor = computeFloorShare(context.limits, listedIds.length);
    const reservedShares = new Map(
      [...baseShares].map(([id, base]) => [id, reachable.has(id) ? floor : base]),
    );
    const demandingIds = listedIds.filter((id) => reachable.has(id) && this.#hasDemand(id, nowMs));
    const computeExtraShares = (kind: LimitKind): ReadonlyMap<string, number> => {
      const available = [...reservedShares.values()].reduce(
        (rest, share) => rest - share[kind],
        context.limits[kind],
      );
      const demands = demandingIds.map((id): [string, number] => {
        const paddedDemand = (this.#entries.get(id)?.demand[kind] ?? 0) * DEMAND_HEADROOM_FACTOR;
        return [id, Math.max(0, paddedDemand - (reservedShares.get(id)?.[kind] ?? 0))];
      });
      return computeMaxMinShares(available, new Map(demands));
    };
    const extraSharesByKind = new Map(LIMIT_KINDS.map((kind) => [kind, computeExtraShares(kind)]));
    return new Map(
      [...reservedShares].map(([id, share]) => [
        id,
        buildShare((kind) => {
          const target = share[kind] + (extraSharesByKind.get(kind)?.get(id) ?? 0);
          return kind === LimitKind.InFlight ? Math.floor(target) : target;
        }),
      ]),
    );
  }

  #computeGrantShare(
    id: string,
    target: AllowanceShare | undefined,
    reserved: AllowanceShare,
    context: LedgerContext,
  ): AllowanceShare {
    const base = this.#getBaseShare(id, context);
    const entry = this.#entries.get(id);
    return buildShare((kind) => {
      const ownReserve = this.#computeReserve(id, kind, context);
      const available = context.limits[kind] - (reserved[kind] - ownReserve);
      const guaranteed = entry?.computeGuaranteed(kind, base[kind], context.nowMs) ?? base[kind];
      return Math.min(target?.[kind] ?? 0, Math.max(available, guaranteed, 0));
    });
  }

  /** Computes what one entry host may use during the next lease duration. */
  #computeReserve(id: string, kind: LimitKind, context: LedgerContext): number {
    const base = this.#getBaseShare(id, context)[kind];
    return this.#entries.get(id)?.computeReserve(kind, base, context.nowMs) ?? base;
  }

  /** Computes what all entry hosts together may use during the next lease duration. */
  #computeTotalReserve(context: LedgerContext): AllowanceShare {
    this.#resetSilentEntries(context);
    const ids = [...new Set([...context.listedIds, ...this.#entries.keys()])];
    return buildShare((kind) =>
      ids.reduce((sum, id) => sum + this.#computeReserve(id, kind, context), 0),
    );
  }

  #isLeaseDue(
    id: string,
    target: AllowanceShare | undefined,
    reserved: AllowanceShare,
    context: LedgerContext,
  ): boolean {
    const { nowMs } = context;
    const entry = this.#entries.get(id);
    if (!entry || !target) return true;
    const ageMs = nowMs - entry.lastSentAtMs;
    if (ageMs < RESEND_FRACTION * this.#leaseMs) return false;
    if (ageMs >= RENEWAL_FRACTION * this.#leaseMs && !this.#hasDemand(id, nowMs)) return true;
    const base = this.#getBaseShare(id, context);
    const next = this.#computeGrantShare(id, target, reserved, context);
    return LIMIT_KINDS.some((kind) => {
      const maxUse = entry.computeMaxUse(kind, base[kind], nowMs);
      const mustShrink = maxUse > target[kind] * MIN_CHANGE_FACTOR;
      const mayGrow =
        this.#hasDemand(id, nowMs) && next[kind] > entry.lastShare[kind] * MIN_CHANGE_FACTOR;
      return mustShrink || mayGrow;
    });
  }

  #resetSilentEntries(context: LedgerContext): void {
    this.#entries.forEach((entry) => {
      if (context.nowMs - entry.lastHeardAtMs > context.maxRequestMs) entry.resetRunning();
    });
  }
}
