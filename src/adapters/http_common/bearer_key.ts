/**
 * Keys in the `Authorization` header.
 *
 * @module
 */
import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Reads the key out of an `Authorization` header.
 *
 * @param authorization - the header's value, if there is one
 * @returns the key; undefined when there is none or it is of another scheme
 */
export function parseBearerKey(authorization: string | undefined): string | undefined {
  return /^bearer +(\S+) *$/i.exec(authorization ?? '')?.[1];
}

/**
 * Compares two secrets in constant time. A comparison that stops at the first
 * wrong byte tells an attacker, by its duration, how much of a guess is right;
 * hashes of equal length leave nothing to measure, the length included.
 *
 * @param given - what the caller sent
 * @param expected - the secret
 * @returns whether they are equal
 */
export function compareSecrets(given: string, expected: string): boolean {
  return timingSafeEqual(hashSecret(given), hashSecret(expected));
}

function hashSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
