/**
 * An engine's prefix cache in limited memory.
 *
 * @module
 */
import type { CacheEventFeed } from './_cache_event_feed.js';

/** Keeps blocks of prompts; the least recently used one goes first. */
export class PrefixCache {
  /** In the order of use, oldest first. */
  readonly #blocks = new Set<string>();

  /**
   * @param maxBlocks - how many blocks fit
   * @param events - where changes are published
   */
  constructor(
    readonly maxBlocks: number,
    readonly events: CacheEventFeed,
  ) {}

  /**
   * Counts the leading blocks that are held, and notes their use.
   *
   * @param blockHashes - chained hashes of a prompt
   * @returns how many of them, from the first on
   */
  countCached(blockHashes: readonly string[]): number {
    const missing = blockHashes.findIndex((hash) => !this.#blocks.has(hash));
    const count = missing < 0 ? blockHashes.length : missing;
    blockHashes.slice(0, count).forEach((hash) => this.#update(hash));
    return count;
  }

  /**
   * Stores a prompt's blocks.
   *
   * @param blockHashes - chained hashes of the prompt
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
