/**
 * Estimates the contents of a backend server's prefix cache.
 *
 * @module
 */
import { BLOCK_TOKENS } from './prompt.js';

/** Age at which a hint expires, in milliseconds. */
const MAX_HINT_AGE_MS = 120_000;

/** Most blocks remembered for one backend server; the oldest is dropped first. */
const MAX_HINTS = 8192;

/**
 * Cache hints from delayed, incomplete cache events and from this dispatcher's
 * own grants. They only rank backend servers; a wrong hint costs one prefill
 * and nothing else.
 */
export class CacheHints {
  /** Time at which each block was last seen, by block hash; oldest first. */
  readonly #seenAtMs = new Map<string, number>();

  /** Probable end of the prefill that stores each pending block, by block hash. */
  readonly #readyAtMs = new Map<string, number>();

  /**
   * Records a block that the cache now holds.
   *
   * @param blockHash - the block
   * @param nowMs - monotonic time in milliseconds
   */
  recordStored(blockHash: string, nowMs: number): void {
    this.#seenAtMs.delete(blockHash);
    this.#seenAtMs.set(blockHash, nowMs);
    if (this.#seenAtMs.size <= MAX_HINTS) return;
    const [oldest] = this.#seenAtMs.keys();
    if (oldest !== undefined) this.recordRemoved(oldest);
  }

  /**
   * Records the blocks of a prompt whose prefill starts.
   *
   * @param blockHashes - the prompt's blocks
   * @param readyAtMs - probable end of the prefill, in monotonic milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  recordPrefill(blockHashes: readonly string[], readyAtMs: number, nowMs: number): void {
    blockHashes.forEach((hash) => {
      if (!this.#seenAtMs.has(hash)) this.#readyAtMs.set(hash, readyAtMs);
      this.recordStored(hash, nowMs);
    });
  }

  /**
   * Counts the prompt tokens that the cache holds now, unless they were
   * evicted. Hints count in full up to half of their maximum age, and not at
   * all after that.
   *
   * @param blockHashes - the prompt's blocks, first block first
   * @param nowMs - monotonic time in milliseconds
   * @param isPendingIncluded - whether blocks of a prefill in progress count as
   *   well
   * @returns tokens
   */
  countCachedTokens(
    blockHashes: readonly string[],
    nowMs: number,
    isPendingIncluded: boolean,
  ): number {
    let count = 0;
    for (; count < blockHashes.length; count += 1) {
      const hash = blockHashes[count] ?? '';
      const seenAtMs = this.#seenAtMs.get(hash);
      if (seenAtMs === undefined || nowMs - seenAtMs > MAX_HINT_AGE_MS / 2) break;
      if (!isPendingIncluded && (this.#readyAtMs.get(hash) ?? 0) > nowMs) break;
    }
    return count * BLOCK_TOKENS;
  }

  /** Records an evicted block. @param blockHash - the block */
  recordRemoved(blockHash: string): void {
    this.#readyAtMs.delete(blockHash);
    this.#seenAtMs.delete(blockHash);
  }

  /** Removes all hints, for example after a restart of the backend server. */
  clear(): void {
    this.#seenAtMs.clear();
    this.#readyAtMs.clear();
  }

  /**
   * Predicts how many prompt tokens the cache holds.
   *
   * @param blockHashes - the prompt's blocks, first block first
   * @param nowMs - monotonic time in milliseconds
   * @returns tokens, discounted by the age of each hint
   */
  predictCachedTokens(blockHashes: readonly string[], nowMs: number): number {
    let tokens = 0;
    for (let index = 0; index < blockHashes.length; index += 1) {
      const seenAtMs = this.#seenAtMs.get(blockHashes[index] ?? '');
      if (seenAtMs === undefined) return tokens;
      const confidence = 1 - (nowMs - seenAtMs) / MAX_HINT_AGE_MS;
      if (confidence <= 0) return tokens;
      tokens += BLOCK_TOKENS * Math.min(1, confidence);
    }
    return tokens;
  }
}
