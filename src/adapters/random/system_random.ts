/**
 * Implements the `RandomSource` port with the random generators of Node.js.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import { RandomSource } from '../../ports/mod.js';

/**
 * Generates cryptographically random bytes for incarnations and IDs, and ordinary pseudo-random
 * fractions for random choices and jitter.
 */
export class SystemRandom extends RandomSource {
  override nextFraction(): number {
    return Math.random();
  }

  override nextBytes(length: number): Uint8Array {
    return Uint8Array.from(randomBytes(length));
  }
}
