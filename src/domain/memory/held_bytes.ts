/**
 * Counts what one holder keeps.
 *
 * @module
 */
import type { ByteBudget } from './byte_budget.js';

/** The part of a budget that one holder uses, which grows and shrinks. */
export class HeldBytes {
  readonly #budget: ByteBudget;

  #bytes = 0;

  /** @param budget - the budget of all holders */
  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /**
   * Sets what this holder keeps, unless the budget would be exceeded.
   *
   * @param bytes - bytes that it keeps from now on
   * @returns whether it may keep them; if not, it counts with its former bytes
   */
  trySet(bytes: number): boolean {
    const added = bytes - this.#bytes;
    if (added > 0 && !this.#budget.tryTake(added)) return false;
    if (added < 0) this.#budget.release(-added);
    this.#bytes = bytes;
    return true;
  }
}
