/**
 * Keys of the documents that operators publish.
 *
 * @module
 */

/** Common start of all keys of the configuration. */
export const CONFIGURATION_PREFIX = 'monsoonhall/';

/** Key of the fleet document. */
export const FLEET_KEY = `${CONFIGURATION_PREFIX}fleet`;

/** Start of a contract's key; the account's ID follows. */
export const CONTRACT_KEY_PREFIX = `${CONFIGURATION_PREFIX}contracts/`;

/**
 * Finds the account whose contract stands under a key.
 *
 * @param key - the key
 * @returns the account's ID; undefined where the key is none of a contract
 */
export function findAccountOfKey(key: string): string | undefined {
  if (!key.startsWith(CONTRACT_KEY_PREFIX)) return undefined;
  const accountId = key.slice(CONTRACT_KEY_PREFIX.length);
  return accountId === '' || accountId.includes('/') ? undefined : accountId;
}
