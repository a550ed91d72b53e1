/**
 * Counts bytes against a limit.
 *
 * @module
 */

/** Limits what several holders keep together, in bytes. */
export class ByteBudget {
  readonly maxBytes: number;

  #usedBytes = 0;

  /** @param maxBytes - most bytes of all holders together */
  constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Bytes of all holders. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether the holders keep more than the limit allows. */
  get isExceeded(): boolean {
    return this.#usedBytes > this.maxBytes;
  }

  /** Whether more than half of the limit is used. */
  get isFilling(): boolean {
    return this.#usedBytes > this.maxBytes / 2;
  }

  /**
   * Takes bytes, unless the limit would be exceeded.
   *
   * @param bytes - bytes to keep from now on
   * @param reserveBytes - bytes that must stay free for others. Default: none
   * @returns whether they may be kept
   */
  tryTake(bytes: number, reserveBytes = 0): boolean {
    if (this.#usedBytes + bytes > this.maxBytes - reserveBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }

  /** @param bytes - bytes that are kept from now on, even beyond the limit */
  add(bytes: number): void {
    this.#usedBytes += bytes;
  }

  /** @param bytes - bytes that are kept no more */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
