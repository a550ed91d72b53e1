/**
 * Hashes the content of requests, to recognize requests with the same content.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** Hexadecimal digits of a content ID: 96 bits, so that callers can't construct collisions. */
const CONTENT_ID_LENGTH = 24;

/**
 * Hashes the parts by which two requests count as equal.
 *
 * @param parts - caller, method, path and the like; none may contain a line feed
 * @param body - the request's body
 * @returns the SHA-256 hash in lower-case hex
 */
export function hashContent(parts: readonly string[], body: Uint8Array): string {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${part}\n`));
  return hash.update(body).digest('hex');
}

/**
 * Shortens a content hash to the content ID that is stored, logged and sent to peers.
 *
 * @param hash - hash returned by {@link hashContent}
 * @returns the content ID
 */
export function formatContentId(hash: string): string {
  return hash.slice(0, CONTENT_ID_LENGTH);
}
