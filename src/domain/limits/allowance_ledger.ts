/**
 * The lender's side of one account's limits.
 *
 * @module
 */
import type { AccountLimits } from '../contracts/types.js';
import { computeFairTargets } from './_fair_targets.js';
import { LedgerEntry } from './_ledger_entry.js';
import type { DemandReport, LedgerContext, LedgerGrant } from './ledger_types.js';
import { ACK_REQUEST_NUMBER, LEASE_LIFE_MS } from './lease_times.js';
import { buildShare, listBaseShares, computeFloorShare, LIMIT_KINDS, LimitKind } from './share.js';
import type { AllowanceShare } from './share.js';

/** Room above the measured demand, so that a growing demand isn't refused. */
const HEADROOM = 1.25;

/** A share that differs by less than this factor is not sent unasked. */
const WORTHWHILE_FACTOR = 1.05;

/** Lives after which an entry host that doesn't ask has no demand any more. */
const DEMAND_LIVES = 1;

/** A restriction is renewed after this part of a life, an urgent change after the other. */
const RENEW_LIVES = 1 / 2;
const CHANGE_LIVES = 1 / 16;

const UNLISTED = buildShare(() => 0);

interface KnownBases {
  readonly limits: AccountLimits;
  readonly listedIds: readonly string[];
  readonly shares: ReadonlyMap<string, AllowanceShare>;
}

/** How a ledger starts. */
export interface AllowanceLedgerOptions {
  readonly accountId: string;
  /**
   * Until when nothing is lent, in milliseconds: leases of an earlier home, or
   * of an earlier incarnation of this one, may be out until then.
   */
  readonly quietUntilMs: number;
  /**
   * Numbers the leases. The numbers must rise from one ledger of a process to
   * the next, or a borrower would take a new lease for an old one.
   */
  readonly nextLeaseNumber: () => number;
  /** Life of a lease in milliseconds. Default: {@link LEASE_LIFE_MS}. */
  readonly lifeMs?: number;
}

/**
 * Lends out what listed entry hosts don't use of an account's limits.
 *
 * At every moment the shares that all entry hosts may be acting on, whichever
 * messages were lost or late, add up to the limits at most: an entry host
 * counts with its base share, unless it has confirmed a lower lease that binds
 * it for longer than what is lent out instead.
 */
export class AllowanceLedger {
  readonly #accountId: string;

  readonly #quietUntilMs: number;

  readonly #lifeMs: number;

  readonly #entries = new Map<string, LedgerEntry>();

  readonly #nextLeaseNumber: () => number;

  #bases: KnownBases | undefined;

  #lastAskedMs = -Infinity;

  /** @param options - how it starts */
  constructor(options: AllowanceLedgerOptions) {
    this.#accountId = options.accountId;
    this.#quietUntilMs = options.quietUntilMs;
    this.#nextLeaseNumber = options.nextLeaseNumber;
    this.#lifeMs = options.lifeMs ?? LEASE_LIFE_MS;
  }

  /**
   * Takes in what an entry host tells.
   *
   * @param report - its demand and the lease that it holds
   * @param nowMs - monotonic time in milliseconds
   */
  record(report: DemandReport, nowMs: number): void {
    const entry = this.#openEntry(report.entryHostId, report.incarnation);
    entry.noteReport(report.heldLease, report.running, nowMs);
    if (report.requestNumber === ACK_REQUEST_NUMBER) return;
    entry.demand = report.demand;
    entry.askedAtMs = nowMs;
    entry.requestNumber = report.requestNumber;
    this.#lastAskedMs = nowMs;
  }

  /**
   * Lends a share to one entry host.
   *
   * @param entryHostId - to which
   * @param context - what holds now
   * @returns the lease; undefined where nothing can be lent, and its base share holds
   */
  grant(entryHostId: string, context: LedgerContext): LedgerGrant | undefined {
    const { nowMs } = context;
    const incarnation = this.#pickIncarnation(entryHostId, context);
    const isLendable = nowMs >= this.#quietUntilMs && context.listedIds.includes(entryHostId);
    if (!isLendable || incarnation === undefined) return undefined;
    const entry = this.#openEntry(entryHostId, incarnation);
    const share = this.#computeGrant(
      entryHostId,
      this.#computeTargets(context).get(entryHostId),
      this.#computeReserved(context),
      context,
    );
    const leaseNumber = this.#nextLeaseNumber();
    entry.noteSent(leaseNumber, share, nowMs);
    return {
      entryHostId,
      incarnation,
      leaseNumber,
      requestNumber: entry.requestNumber,
      share,
      validMs: this.#lifeMs,
    };
  }

  /**
   * Lists entry hosts that should get a lease without asking: those whose room
   * others need, and those that can get more than they were lent.
   *
   * @param context - what holds now
   * @returns their IDs
   */
  listDue(context: LedgerContext): readonly string[] {
    if (context.nowMs < this.#quietUntilMs || !this.#isPressed(context)) return [];
    const targets = this.#computeTargets(context);
    const ids = context.listedIds.filter((id) => context.reachable.has(id));
    const reserved = this.#computeReserved(context);
    return ids.filter((id) => this.#isDue(id, targets.get(id), reserved, context));
  }

  /**
   * @param context - what holds now
   * @returns whether the ledger may be dropped: nothing is lent and nobody asks
   */
  isIdle(context: LedgerContext): boolean {
    this.#expireRunning(context);
    const { nowMs } = context;
    if (nowMs - this.#lastAskedMs < 2 * this.#lifeMs) return false;
    return [...this.#entries].every(([id, entry]) => {
      const base = this.#getBase(id, context).inFlight;
      const reserve = entry.computeReserve(LimitKind.InFlight, base, nowMs);
      return !entry.isLent(nowMs) && reserve <= base;
    });
  }

  /** The one that spoke last; after a silence the one that membership names. */
  #pickIncarnation(id: string, context: LedgerContext): string | undefined {
    const entry = this.#entries.get(id);
    const isHeard = entry !== undefined && context.nowMs - entry.heardAtMs < this.#lifeMs;
    return isHeard ? entry.incarnation : (context.reachable.get(id) ?? entry?.incarnation);
  }

  #openEntry(id: string, incarnation: string): LedgerEntry {
    const known = this.#entries.get(id);
    if (known?.incarnation === incarnation) return known;
    const entry = new LedgerEntry(incarnation, this.#lifeMs);
    this.#entries.set(id, entry);
    return entry;
  }

  /** Base shares change with the host list and the contract alone; they are kept until then. */
  #getBase(id: string, context: LedgerContext): AllowanceShare {
    const { limits, listedIds } = context;
    if (this.#bases?.limits !== limits || this.#bases.listedIds !== listedIds) {
      const shares = listBaseShares(limits, this.#accountId, listedIds);
      this.#bases = { limits, listedIds, shares };
    }
    return this.#bases.shares.get(id) ?? UNLISTED;
  }

  #isActive(id: string, nowMs: number): boolean {
    const entry = this.#entries.get(id);
    if (!entry || nowMs - entry.askedAtMs > DEMAND_LIVES * this.#lifeMs) return false;
    return LIMIT_KINDS.some((kind) => entry.demand[kind] > 0);
  }

  /** Whether anybody demands more than holds without a lease. */
  #isPressed(context: LedgerContext): boolean {
    return context.listedIds.some((id) => {
      if (!this.#isActive(id, context.nowMs)) return false;
      const base = this.#getBase(id, context);
      const demand = this.#entries.get(id)?.demand;
      return LIMIT_KINDS.some((kind) => (demand?.[kind] ?? 0) * HEADROOM > base[kind]);
    });
  }

  /** What each listed entry host should have in the end. */
  #computeTargets(context: LedgerContext): ReadonlyMap<string, AllowanceShare> {
    const { listedIds, reachable, nowMs } = context;
    const bases = new Map(listedIds.map((id) => [id, this.#getBase(id, context)]));
    const floor = computeFloorShare(context.limits, listedIds.length);
    const kept = new Map([...bases].map(([id, base]) => [id, reachable.has(id) ? floor : base]));
    const active = listedIds.filter((id) => reachable.has(id) && this.#isActive(id, nowMs));
    const parts = (kind: LimitKind): ReadonlyMap<string, number> => {
      const room = [...kept.values()].reduce(
        (rest, share) => rest - share[kind],
        context.limits[kind],
      );
      const demands = active.map((id): [string, number] => {
        const wanted = (this.#entries.get(id)?.demand[kind] ?? 0) * HEADROOM;
        return [id, Math.max(0, wanted - (kept.get(id)?.[kind] ?? 0))];
      });
      return computeFairTargets(room, new Map(demands));
    };
    const partsByKind = new Map(LIMIT_KINDS.map((kind) => [kind, parts(kind)]));
    return new Map(
      [...kept].map(([id, share]) => [
        id,
        buildShare((kind) => {
          const target = share[kind] + (partsByKind.get(kind)?.get(id) ?? 0);
          return kind === LimitKind.InFlight ? Math.floor(target) : target;
        }),
      ]),
    );
  }

  #computeGrant(
    id: string,
    target: AllowanceShare | undefined,
    reserved: AllowanceShare,
    context: LedgerContext,
  ): AllowanceShare {
    const base = this.#getBase(id, context);
    const entry = this.#entries.get(id);
    return buildShare((kind) => {
      const own = this.#computeReserve(id, kind, context);
      const room = context.limits[kind] - (reserved[kind] - own);
      const sure = entry?.computeSure(kind, base[kind], context.nowMs) ?? base[kind];
      return Math.min(target?.[kind] ?? 0, Math.max(room, sure, 0));
    });
  }

  /** What one entry host may be using during the coming lease life. */
  #computeReserve(id: string, kind: LimitKind, context: LedgerContext): number {
    const base = this.#getBase(id, context)[kind];
    return this.#entries.get(id)?.computeReserve(kind, base, context.nowMs) ?? base;
  }

  /** What all together may be using during the coming lease life. */
  #computeReserved(context: LedgerContext): AllowanceShare {
    this.#expireRunning(context);
    const ids = [...new Set([...context.listedIds, ...this.#entries.keys()])];
    return buildShare((kind) =>
      ids.reduce((sum, id) => sum + this.#computeReserve(id, kind, context), 0),
    );
  }

  #isDue(
    id: string,
    target: AllowanceShare | undefined,
    reserved: AllowanceShare,
    context: LedgerContext,
  ): boolean {
    const { nowMs } = context;
    const entry = this.#entries.get(id);
    if (!entry || !target) return true;
    const ageMs = nowMs - entry.lastSentAtMs;
    if (ageMs < CHANGE_LIVES * this.#lifeMs) return false;
    if (ageMs >= RENEW_LIVES * this.#lifeMs && !this.#isActive(id, nowMs)) return true;
    const base = this.#getBase(id, context);
    const next = this.#computeGrant(id, target, reserved, context);
    return LIMIT_KINDS.some((kind) => {
      const use = entry.computeUse(kind, base[kind], nowMs);
      const mustShrink = use > target[kind] * WORTHWHILE_FACTOR;
      const mayGrow =
        this.#isActive(id, nowMs) && next[kind] > entry.lastShare[kind] * WORTHWHILE_FACTOR;
      return mustShrink || mayGrow;
    });
  }

  #expireRunning(context: LedgerContext): void {
    this.#entries.forEach((entry) => {
      if (context.nowMs - entry.heardAtMs > context.maxRunMs) entry.expireRunning();
    });
  }
}
