/**
 * Shares of an account's limits that belong to single entry hosts.
 *
 * @module
 */
import type { AccountLimits } from '../contracts/types.js';
import { pickByRendezvous } from '../membership/mod.js';

/** A share of an account's limits; the rates may be fractional. */
export type AllowanceShare = AccountLimits;

/** The kinds of limit; each value is the name of the limit's field. */
export enum LimitKind {
  Requests = 'requestsPerSecond',
  Tokens = 'tokensPerSecond',
  InFlight = 'inFlight',
}

/** All kinds of limit. */
export const LIMIT_KINDS: readonly LimitKind[] = Object.values(LimitKind);

/** Fraction of its base rates that an entry host without demand keeps. */
const FLOOR_FRACTION = 1 / 16;

/**
 * Builds a share from a value for each kind of limit.
 *
 * @param compute - returns the value for one kind of limit
 * @returns the share
 */
export function buildShare(compute: (kind: LimitKind) => number): AllowanceShare {
  return {
    requestsPerSecond: compute(LimitKind.Requests),
    tokensPerSecond: compute(LimitKind.Tokens),
    inFlight: compute(LimitKind.InFlight),
  };
}

const ZERO_SHARE = buildShare(() => 0);

/**
 * Lists the base shares, which entry hosts may use without a lease. They sum to
 * the limits, never to more.
 *
 * The in-flight limit is divided into integers: each entry host gets the quotient,
 * and the hosts that rendezvous hashing ranks first get one more each until the
 * remainder is used up. If the limit is below the number of hosts, some hosts get 0
 * and need a lease before their first request.
 *
 * @param limits - limits of the account
 * @param accountId - ID of the account
 * @param listedIds - IDs of the entry hosts on the host list
 * @returns the base share of each entry host by ID
 */
export function listBaseShares(
  limits: AccountLimits,
  accountId: string,
  listedIds: readonly string[],
): ReadonlyMap<string, AllowanceShare> {
  const count = listedIds.length;
  const inFlight = Math.floor(limits.inFlight);
  const remainderHosts = pickRemainderHosts(accountId, listedIds, inFlight % count);
  return new Map(
    listedIds.map((id) => [
      id,
      {
        requestsPerSecond: limits.requestsPerSecond / count,
        tokensPerSecond: limits.tokensPerSecond / count,
        inFlight: Math.floor(inFlight / count) + (remainderHosts.has(id) ? 1 : 0),
      },
    ]),
  );
}

function pickRemainderHosts(
  accountId: string,
  listedIds: readonly string[],
  count: number,
): ReadonlySet<string> {
  const picked = new Set<string>();
  const remaining = new Set(listedIds);
  while (picked.size < count) {
    const next = pickByRendezvous(`allowance\n${accountId}`, remaining);
    if (next === undefined) break;
    picked.add(next);
    remaining.delete(next);
  }
  return picked;
}

/**
 * Computes the base share, which one entry host may use without a lease.
 *
 * @param limits - limits of the account
 * @param accountId - ID of the account
 * @param entryHostId - ID of the entry host
 * @param listedIds - IDs of the entry hosts on the host list
 * @returns the base share; all zeros for an entry host that is not listed
 */
export function computeBaseShare(
  limits: AccountLimits,
  accountId: string,
  entryHostId: string,
  listedIds: readonly string[],
): AllowanceShare {
  return listBaseShares(limits, accountId, listedIds).get(entryHostId) ?? ZERO_SHARE;
}

/**
 * Computes the floor share, which an entry host without demand keeps while others
 * have unmet demand, so that its next request is admitted at once. If the in-flight
 * limit is below the number of entry hosts, the floor is 0 in flight and the whole
 * limit goes to hosts with demand.
 *
 * @param limits - limits of the account
 * @param listedCount - number of entry hosts on the host list
 * @returns the floor share
 */
export function computeFloorShare(limits: AccountLimits, listedCount: number): AllowanceShare {
  return {
    requestsPerSecond: (limits.requestsPerSecond / listedCount) * FLOOR_FRACTION,
    tokensPerSecond: (limits.tokensPerSecond / listedCount) * FLOOR_FRACTION,
    inFlight: limits.inFlight >= listedCount ? 1 : 0,
  };
}
