/**
 * Copies of the store of a soak run, from which it comes back.
 *
 * @module
 */
import type { StoreCopy, TestStore } from '../platform/test/store.js';

/** Interval between two copies, in milliseconds. */
const COPY_INTERVAL_MS = 500;

/** Number of copies kept; the oldest is some seconds old. */
const KEPT_COPIES = 5;

/** Keeps the last copies of a store. */
export class StoreCopies {
  readonly #store: TestStore;

  #copies: StoreCopy[] = [];

  /** @param store - the store */
  constructor(store: TestStore) {
    this.#store = store;
  }

  /** Begins to take copies. @param schedule - runs a callback later */
  start(schedule: (delayMs: number, run: () => void) => void): void {
    this.#copies = [...this.#copies.slice(1 - KEPT_COPIES), this.#store.copy()];
    schedule(COPY_INTERVAL_MS, () => this.start(schedule));
  }

  /** Brings the store back from the oldest copy. */
  restoreOldest(): void {
    const [oldest] = this.#copies;
    if (oldest) this.#store.restore(oldest);
    this.#copies = [];
  }
}
