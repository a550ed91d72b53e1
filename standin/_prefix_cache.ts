/**
 * The prefix cache of a stand-in engine, limited to a number of blocks.
 *
 * @module
 */
import type { CacheEventFeed } from './_cache_event_feed.js';

/** Holds the hashes of cached prompt blocks and evicts the least recently used ones first. */
export class PrefixCache {
  /** Block hashes, least recently used first. */
  readonly #blocks = new Set<string>();

  /**
   * @param maxBlocks - number of blocks that fit
   * @param events - feed in which changes are published
   */
  constructor(
    readonly maxBlocks: number,
    readonly events: CacheEventFeed,
  ) {}

  /**
   * Counts the leading blocks of a prompt that are cached, and marks them as recently used.
   *
   * @param blockHashes - chained hashes of the prompt's blocks
   * @returns the number of cached blocks before the first one that is missing
   */
  countCached(blockHashes: readonly string[]): number {
    const missing = blockHashes.findIndex((hash) => !this.#blocks.has(hash));
    const count = missing < 0 ? blockHashes.length : missing;
    blockHashes.slice(0, count).forEach((hash) => this.#update(hash));
    return count;
  }

  /**
   * Stores the blocks of a prompt.
   *
   * @param blockHashes - chained hashes of the prompt's blocks
   */
  add(blockHashes: readonly string[]): void {
    blockHashes.forEach((hash) => {
      if (!this.#blocks.has(hash)) this.events.record(true, hash);
      this.#update(hash);
    });
    this.#prune();
  }

  #update(hash: string): void {
    this.#blocks.delete(hash);
    this.#blocks.add(hash);
  }

  #prune(): void {
    const surplus = this.#blocks.size - this.maxBlocks;
    if (surplus <= 0) return;
    [...this.#blocks].slice(0, surplus).forEach((hash) => {
      this.#blocks.delete(hash);
      this.events.record(false, hash);
    });
  }
}
