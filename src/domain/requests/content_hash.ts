/**
 * Which requests have the same content.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** Hexadecimal digits of a content's name: 96 bits, so that callers can't make two that collide. */
const CONTENT_ID_LENGTH = 24;

/**
 * Hashes what makes two requests the same.
 *
 * @param parts - caller, method, path and the like; none may contain a line feed
 * @param body - the request's body
 * @returns a hash in lower-case hex
 */
export function hashContent(parts: readonly string[], body: Uint8Array): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part}\n`));
  return hash.update(body).digest('hex');
}

/**
 * Shortens a content's hash to what is kept, logged and sent to peers.
 *
 * @param hash - of {@link hashContent}
 * @returns the content's name
 */
export function formatContentId(hash: string): string {
  return hash.slice(0, CONTENT_ID_LENGTH);
}
