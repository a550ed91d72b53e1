/**
 * Names streams in records and messages.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** Length of a key in base64 digits: 96 bits, so that callers can't construct collisions. */
const KEY_LENGTH = 16;

/**
 * Builds the key of a stream. An ID that another account uses has another key.
 *
 * @param accountId - client account; undefined on routes that need no key
 * @param requestId - ID of the request whose answer brought the first event
 * @returns the key
 */
export function hashStreamKey(accountId: string | undefined, requestId: string): string {
  const hash = createHash('sha256').update(`${accountId ?? ''}\n${requestId}`);
  return hash.digest('base64url').slice(0, KEY_LENGTH);
}
