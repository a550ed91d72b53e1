/**
 * Reads and compares keys of the `Authorization` header.
 *
 * @module
 */
import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Reads the key out of an `Authorization` header.
 *
 * @param authorization - value of the header, if it was sent
 * @returns the key; undefined without the header or with another scheme
 */
export function parseBearerKey(authorization: string | undefined): string | undefined {
  return /^bearer +(\S+) *$/i.exec(authorization ?? '')?.[1];
}

/**
 * Compares two secrets in constant time. The duration of a comparison that stops at the
 * first wrong byte reveals how much of a guess is right. Comparing hashes of equal length
 * reveals neither that nor the length of the secret.
 *
 * @param received - the secret that the caller sent
 * @param expected - the expected secret
 * @returns whether they are equal
 */
export function compareSecrets(received: string, expected: string): boolean {
  return timingSafeEqual(hashSecret(received), hashSecret(expected));
}

function hashSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
