/**
 * Choice of the entry host that lends an account's allowance.
 *
 * @module
 */
import { pickByRendezvous } from '../membership/mod.js';

/**
 * Picks the entry host that lends an account's allowance. The candidates are the
 * host list instead of the live entry hosts: otherwise each side of a network
 * partition would pick its own lender, and each of them would lend the whole limit.
 *
 * @param accountId - ID of the account
 * @param listedIds - IDs of the entry hosts on the host list
 * @returns the ID of the lender; undefined for an empty list
 */
export function pickAllowanceLender(
  accountId: string,
  listedIds: readonly string[],
): string | undefined {
  return pickByRendezvous(`allowance\n${accountId}`, listedIds);
}
