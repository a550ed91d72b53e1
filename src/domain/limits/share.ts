/**
 * Shares of an account's limits.
 *
 * @module
 */
import type { AccountLimits } from '../contracts/types.js';
import { pickByRendezvous } from '../membership/mod.js';

/** A part of an account's limits; the rates may be fractions. */
export type AllowanceShare = AccountLimits;

/** The limits of an account, by the names of their fields. */
export enum LimitKind {
  Requests = 'requestsPerSecond',
  Tokens = 'tokensPerSecond',
  InFlight = 'inFlight',
}

/** Every limit. */
export const LIMIT_KINDS: readonly LimitKind[] = Object.values(LimitKind);

/** Part of the base rate that an entry host without demand keeps. */
const FLOOR_FRACTION = 1 / 16;

/**
 * Builds a share from a figure for each limit.
 *
 * @param compute - gives the figure of one limit
 * @returns the share
 */
export function buildShare(compute: (kind: LimitKind) => number): AllowanceShare {
  return {
    requestsPerSecond: compute(LimitKind.Requests),
    tokensPerSecond: compute(LimitKind.Tokens),
    inFlight: compute(LimitKind.InFlight),
  };
}

const NOTHING = buildShare(() => 0);

/**
 * Lists the shares that entry hosts may use without a lease. They add up to the
 * limits, never to more.
 *
 * Requests in flight are whole: each entry host gets the quotient, and the rest
 * goes, one each, to those that rendezvous hashing picks first. With fewer in
 * flight than entry hosts some get none and must ask for a lease first.
 *
 * @param limits - limits of the account
 * @param accountId - which account
 * @param listedIds - IDs of the host list
 * @returns the share of each
 */
export function listBaseShares(
  limits: AccountLimits,
  accountId: string,
  listedIds: readonly string[],
): ReadonlyMap<string, AllowanceShare> {
  const count = listedIds.length;
  const whole = Math.floor(limits.inFlight);
  const favoured = pickFavoured(accountId, listedIds, whole % count);
  return new Map(
    listedIds.map((id) => [
      id,
      {
        requestsPerSecond: limits.requestsPerSecond / count,
        tokensPerSecond: limits.tokensPerSecond / count,
        inFlight: Math.floor(whole / count) + (favoured.has(id) ? 1 : 0),
      },
    ]),
  );
}

function pickFavoured(
  accountId: string,
  listedIds: readonly string[],
  count: number,
): ReadonlySet<string> {
  const favoured = new Set<string>();
  const remaining = new Set(listedIds);
  while (favoured.size < count) {
    const picked = pickByRendezvous(`allowance\n${accountId}`, remaining);
    if (picked === undefined) break;
    favoured.add(picked);
    remaining.delete(picked);
  }
  return favoured;
}

/**
 * Computes the share that one entry host may use without a lease.
 *
 * @param limits - limits of the account
 * @param accountId - which account
 * @param entryHostId - whose share
 * @param listedIds - IDs of the host list
 * @returns the share; nothing for an entry host that is not listed
 */
export function computeBaseShare(
  limits: AccountLimits,
  accountId: string,
  entryHostId: string,
  listedIds: readonly string[],
): AllowanceShare {
  return listBaseShares(limits, accountId, listedIds).get(entryHostId) ?? NOTHING;
}

/**
 * Computes what an entry host without demand keeps while others are short, so
 * that its next first request is admitted at once. With fewer requests in flight
 * than entry hosts it keeps none of them: whoever has demand gets them all.
 *
 * @param limits - limits of the account
 * @param listedCount - number of listed entry hosts
 * @returns the smallest share
 */
export function computeFloorShare(limits: AccountLimits, listedCount: number): AllowanceShare {
  return {
    requestsPerSecond: (limits.requestsPerSecond / listedCount) * FLOOR_FRACTION,
    tokensPerSecond: (limits.tokensPerSecond / listedCount) * FLOOR_FRACTION,
    inFlight: limits.inFlight >= listedCount ? 1 : 0,
  };
}
