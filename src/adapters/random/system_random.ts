/**
 * Random numbers of the operating system.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import { RandomSource } from '../../ports/mod.js';

/** Unpredictable bytes for incarnations and IDs, and plain fractions for choices and jitter. */
export class SystemRandom extends RandomSource {
  override nextFraction(): number {
    return Math.random();
  }

  override nextBytes(length: number): Uint8Array {
    return Uint8Array.from(randomBytes(length));
  }
}
