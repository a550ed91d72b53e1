/**
 * Which entry host lends out an account's allowance.
 *
 * @module
 */
import { pickByRendezvous } from '../membership/mod.js';

/**
 * Picks the entry host that lends out an account's allowance. It is picked from
 * the host list and not from the live entry hosts: in a partition both sides
 * would otherwise have one, and each would lend out the whole limit.
 *
 * @param accountId - which account
 * @param listedIds - IDs of the host list
 * @returns the ID; undefined for an empty list
 */
export function pickAllowanceHome(
  accountId: string,
  listedIds: readonly string[],
): string | undefined {
  return pickByRendezvous(`allowance\n${accountId}`, listedIds);
}
