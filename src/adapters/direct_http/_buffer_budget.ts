/**
 * Limits the bytes that all callers together make a process buffer.
 *
 * @module
 */
import type { ByteBudget } from '../../domain/memory/mod.js';

/** A caller whose bytes are buffered. */
export interface BufferHolder {
  /** @returns bytes that are buffered for it now */
  measureBytes(): number;

  /** Gives the buffered bytes up. Called when its caller has the most of all. */
  drop(): void;
}

/**
 * Counts the buffered bytes of all callers. Limits for single callers don't bound their sum: a few
 * hundred of them would use up the memory of a small host, and its process would end with all
 * calls.
 */
export class BufferBudget {
  readonly #budget: ByteBudget;

  /** Bytes by holder as last recorded, in the order of their first record. */
  readonly #bytesByHolder = new Map<BufferHolder, number>();

  /** @param budget - counts the bytes of all holders together */
  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /**
   * Records how much is buffered for a holder now.
   *
   * @param holder - the caller
   * @param bytes - bytes buffered for it; 0 removes it
   */
  set(holder: BufferHolder, bytes: number): void {
    this.#budget.add(bytes - (this.#bytesByHolder.get(holder) ?? 0));
    if (bytes > 0) this.#bytesByHolder.set(holder, bytes);
    else this.#bytesByHolder.delete(holder);
  }

  /** @returns whether all holders together exceed the limit, by what is buffered now */
  #isExceeded(): boolean {
    if (!this.#budget.isExceeded) return false;
    this.#refresh();
    return this.#budget.isExceeded;
  }

  /**
   * Drops what the holders with the most bytes have buffered until the limit is kept; among equal
   * ones, the holder that has waited for longest.
   */
  enforce(): void {
    while (this.#isExceeded()) {
      const largest = this.#pickLargest();
      if (!largest) return;
      this.set(largest, 0);
      // Later, as one call must not end within a step of another one.
      setImmediate(() => largest.drop());
    }
  }

  #refresh(): void {
    [...this.#bytesByHolder.keys()].forEach((holder) => this.set(holder, holder.measureBytes()));
  }

  #pickLargest(): BufferHolder | undefined {
    let largest: BufferHolder | undefined;
    let largestBytes = 0;
    this.#bytesByHolder.forEach((bytes, holder) => {
      if (bytes <= largestBytes) return;
      largest = holder;
      largestBytes = bytes;
    });
    return largest;
  }
}
