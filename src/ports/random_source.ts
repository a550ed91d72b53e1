/**
 * Random numbers, as the application sees them.
 *
 * @module
 */

/** Source of random numbers. Tests use a seeded one. */
export abstract class RandomSource {
  /** @returns a number in [0, 1) */
  abstract nextFraction(): number;

  /**
   * @param length - how many bytes
   * @returns that many unpredictable bytes
   */
  abstract nextBytes(length: number): Uint8Array;

  /**
   * @param length - how many bytes
   * @returns that many unpredictable bytes as hexadecimal digits, for a name that nobody else has
   */
  nextHex(length: number): string {
    return Buffer.from(this.nextBytes(length)).toString('hex');
  }
}
