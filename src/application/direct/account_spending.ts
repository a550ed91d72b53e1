/**
 * Client accounts' limits over all entry hosts.
 *
 * @module
 */
import { SharedBucket } from '../../domain/limits/mod.js';
import { LimitUnit } from '../../domain/routing/mod.js';
import type { AccountLimit, ClientAccount } from '../../domain/routing/mod.js';
import type { Clock, DirectRequest } from '../../ports/mod.js';
import { REACH_SILENT_MS } from './host_reports.js';

/** Keeps one shared bucket for each account with a limit. */
export class AccountSpending {
  readonly #clock: Clock;

  readonly #buckets = new Map<string, SharedBucket>();

  #reach = 1;

  /** @param clock - time */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param accounts - all accounts of the configuration that came into force */
  applyAccounts(accounts: readonly ClientAccount[]): void {
    const nowMs = this.#clock.nowMs();
    const limited = new Set(accounts.filter(({ limit }) => limit).map(({ id }) => id));
    [...this.#buckets.keys()]
      .filter((id) => !limited.has(id))
      .forEach((id) => this.#buckets.delete(id));
    accounts.forEach(({ id, limit }) => {
      if (limit) this.#takeBucket(id, limit, nowMs).setLimit(buildBucketLimit(limit), nowMs);
    });
  }

  /**
   * Takes what a request needs.
   *
   * @param account - whose request
   * @param request - the request
   * @returns 0 when it may go on; else when to come back, in milliseconds
   */
  take(account: ClientAccount, request: DirectRequest): number {
    if (!account.limit) return 0;
    const units = countUnits(account.limit, request);
    const nowMs = this.#clock.nowMs();
    return this.#takeBucket(account.id, account.limit, nowMs).take(units, nowMs);
  }

  /** @param account - whose request. @param request - a request that never ran */
  release(account: ClientAccount, request: DirectRequest): void {
    if (!account.limit) return;
    this.#buckets.get(account.id)?.release(countUnits(account.limit, request));
  }

  /** @returns units spent since the start, by account */
  listTotals(): Record<string, number> {
    return Object.fromEntries([...this.#buckets].map(([id, { totalUnits }]) => [id, totalUnits]));
  }

  /** @param incarnation - a peer's process. @param totals - what it has spent since its start */
  applyPeer(incarnation: string, totals: Readonly<Record<string, number>>): void {
    const nowMs = this.#clock.nowMs();
    Object.entries(totals).forEach(([id, total]) => {
      this.#buckets.get(id)?.applyPeerTotal(incarnation, total, nowMs);
    });
  }

  /** @param reach - entry hosts within reach as part of all that are known, in (0, 1] */
  setReach(reach: number): void {
    this.#reach = reach;
    const nowMs = this.#clock.nowMs();
    this.#buckets.forEach((bucket) => bucket.setReach(reach, nowMs));
  }

  #takeBucket(id: string, limit: AccountLimit, nowMs: number): SharedBucket {
    const found = this.#buckets.get(id);
    if (found) return found;
    const bucket = new SharedBucket({
      limit: buildBucketLimit(limit),
      nowMs,
      silentAfterMs: REACH_SILENT_MS,
    });
    bucket.setReach(this.#reach, nowMs);
    this.#buckets.set(id, bucket);
    return bucket;
  }
}

function buildBucketLimit({ ratePerSecond, burst }: AccountLimit): {
  readonly ratePerSecond: number;
  readonly capacity: number;
} {
  return { ratePerSecond, capacity: burst > 0 ? burst : ratePerSecond };
}

function countUnits(limit: AccountLimit, { work, isSized }: DirectRequest): number {
  if (limit.unit === LimitUnit.Requests) return 1;
  return isSized ? work.promptTokens + work.outputTokens : limit.unitsOfUnsized;
}
