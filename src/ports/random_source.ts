/**
 * Defines the source of random numbers that the application uses.
 *
 * @module
 */

/** Source of random numbers. Tests use a seeded source. */
export abstract class RandomSource {
  /** @returns a number in [0, 1) */
  abstract nextFraction(): number;

  /**
   * @param length - number of bytes
   * @returns unpredictable bytes
   */
  abstract nextBytes(length: number): Uint8Array;

  /**
   * @param length - number of bytes
   * @returns unpredictable bytes as hexadecimal digits, for unique IDs
   */
  nextHex(length: number): string {
    return Buffer.from(this.nextBytes(length)).toString('hex');
  }
}
