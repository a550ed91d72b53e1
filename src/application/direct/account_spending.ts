/**
 * Enforces the rate limits of client accounts across all entry hosts.
 *
 * @module
 */
import { SharedBucket } from '../../domain/limits/mod.js';
import { ReportScope } from '../../domain/overlay/mod.js';
import { LimitUnit } from '../../domain/routing/mod.js';
import type { AccountLimit, ClientAccount } from '../../domain/routing/mod.js';
import type { Clock, DirectRequest } from '../../ports/mod.js';
import { LIMIT_PEER_TIMEOUT_MS } from './_received_reports.js';
import type { CountedReport } from './report_stats.js';

/** Holds one shared token bucket for each account that has a limit. */
export class AccountSpending {
  readonly #clock: Clock;

  readonly #buckets = new Map<string, SharedBucket>();

  #reach = 1;

  /** @param clock - provides monotonic time */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param accounts - all client accounts of the configuration that came into effect */
  applyAccounts(accounts: readonly ClientAccount[]): void {
    const nowMs = this.#clock.nowMs();
    const limitedIds = new Set(accounts.filter(({ limit }) => limit).map(({ id }) => id));
    [...this.#buckets.keys()]
      .filter((id) => !limitedIds.has(id))
      .forEach((id) => this.#buckets.delete(id));
    accounts.forEach(({ id, limit }) => {
      if (limit) this.#getOrCreateBucket(id, limit, nowMs).setLimit(buildBucketLimit(limit), nowMs);
    });
  }

  /**
   * Takes the units that a request needs from its account's bucket.
   *
   * @param account - client account of the request
   * @param request - the request
   * @returns 0 when the request is admitted; otherwise the retry-after time in milliseconds
   */
  take(account: ClientAccount, request: DirectRequest): number {
    if (!account.limit) return 0;
    const units = countUnits(account.limit, request);
    const nowMs = this.#clock.nowMs();
    return this.#getOrCreateBucket(account.id, account.limit, nowMs).take(units, nowMs);
  }

  /** @param account - client account of the request. @param request - a request that never ran */
  release(account: ClientAccount, request: DirectRequest): void {
    if (!account.limit) return;
    this.#buckets.get(account.id)?.release(countUnits(account.limit, request));
  }

  /**
   * Lists the spent units to report to a peer.
   *
   * @param scope - whose spending to list: of this entry host, its group, or all but the receiver
   * @param receiver - incarnation of the peer that receives the report
   * @returns total units by account ID; for one scope and receiver they never decrease
   */
  listSpentUnits(scope: ReportScope, receiver: string): Record<string, number> {
    const totals = [...this.#buckets].map(([id, bucket]) => [
      id,
      readTotal(bucket, scope, receiver),
    ]);
    return Object.fromEntries(totals) as Record<string, number>;
  }

  /** @param report - a peer's report that was accepted for counting */
  applyReport({ identity, report, isNewProcess }: CountedReport): void {
    const nowMs = this.#clock.nowMs();
    const { scope } = report;
    const source = formatSource(identity.incarnation, scope);
    const isMember = scope === ReportScope.Member;
    Object.entries(report.spentUnits).forEach(([id, totalUnits]) => {
      const bucket = this.#buckets.get(id);
      bucket?.applyPeerReport({ source, totalUnits, isNewProcess, isMember }, nowMs);
    });
  }

  /** @param reach - fraction of the known entry hosts that is reachable, in (0, 1] */
  setReach(reach: number): void {
    this.#reach = reach;
    const nowMs = this.#clock.nowMs();
    this.#buckets.forEach((bucket) => bucket.setReachableFraction(reach, nowMs));
  }

  #getOrCreateBucket(id: string, limit: AccountLimit, nowMs: number): SharedBucket {
    const found = this.#buckets.get(id);
    if (found) return found;
    const bucket = new SharedBucket({
      limit: buildBucketLimit(limit),
      nowMs,
      peerTimeoutMs: LIMIT_PEER_TIMEOUT_MS,
    });
    bucket.setReachableFraction(this.#reach, nowMs);
    this.#buckets.set(id, bucket);
    return bucket;
  }
}

/**
 * Names the source of a total. Totals are tracked by scope because they grow separately: a
 * member that becomes a relay reports the larger total of its group.
 */
function formatSource(incarnation: string, scope: ReportScope): string {
  return `${incarnation}/${scope}`;
}

function readTotal(bucket: SharedBucket, scope: ReportScope, receiver: string): number {
  switch (scope) {
    case ReportScope.Group:
      return bucket.groupUnits;
    case ReportScope.Fleet:
      return bucket.computeUnitsExcept(formatSource(receiver, ReportScope.Member));
    default:
      return bucket.totalUnits;
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
