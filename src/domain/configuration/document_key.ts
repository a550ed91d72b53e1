/**
 * Keys under which operators publish configuration documents.
 *
 * @module
 */

/** Common prefix of all configuration keys. */
export const CONFIGURATION_PREFIX = 'monsoonhall/';

/** Key of the fleet document. */
export const FLEET_KEY = `${CONFIGURATION_PREFIX}fleet`;

/** Prefix of contract keys; the account ID follows. */
export const CONTRACT_KEY_PREFIX = `${CONFIGURATION_PREFIX}contracts/`;

/**
 * Extracts the account ID from the key of a contract document.
 *
 * @param key - the document's key
 * @returns the account ID; undefined if the key is not a contract key
 */
export function extractAccountId(key: string): string | undefined {
  if (!key.startsWith(CONTRACT_KEY_PREFIX)) return undefined;
  const accountId = key.slice(CONTRACT_KEY_PREFIX.length);
  return accountId === '' || accountId.includes('/') ? undefined : accountId;
}
