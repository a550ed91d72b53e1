/**
 * What a backend server's prefix cache probably holds.
 *
 * @module
 */
import { BLOCK_TOKENS } from './prompt.js';

/** Age at which a hint is worth nothing any more, in milliseconds. */
const HINT_AGE_MS = 120_000;

/** Most blocks that are remembered of one backend server; the oldest goes first. */
const MAX_HINTS = 8192;

/**
 * Hints from late and gappy events and from own grants. They only order the
 * choice; a wrong one costs a prefill and nothing else.
 */
export class CacheHints {
  /** Block hash → when it was last seen, in order of that. */
  readonly #seenAtMs = new Map<string, number>();

  /** Block hash → when a prefill that is under way will probably have stored it. */
  readonly #readyAtMs = new Map<string, number>();

  /**
   * @param blockHash - a block that the cache now holds
   * @param nowMs - monotonic time in milliseconds
   */
  noteStored(blockHash: string, nowMs: number): void {
    this.#seenAtMs.delete(blockHash);
    this.#seenAtMs.set(blockHash, nowMs);
    if (this.#seenAtMs.size <= MAX_HINTS) return;
    const [oldest] = this.#seenAtMs.keys();
    if (oldest !== undefined) this.noteRemoved(oldest);
  }

  /**
   * Takes in a prompt whose prefill begins.
   *
   * @param blockHashes - the prompt's blocks
   * @param readyAtMs - when the prefill has probably ended, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  noteStarted(blockHashes: readonly string[], readyAtMs: number, nowMs: number): void {
    blockHashes.forEach((hash) => {
      if (!this.#seenAtMs.has(hash)) this.#readyAtMs.set(hash, readyAtMs);
      this.noteStored(hash, nowMs);
    });
  }

  /**
   * Counts the tokens of a prompt that the cache holds by now, unless evicted. A
   * hint counts in full here until half its age.
   *
   * @param blockHashes - the prompt's blocks, first one first
   * @param nowMs - monotonic time in milliseconds
   * @param isPendingHeld - whether a prefill under way counts as well
   * @returns tokens
   */
  countHeldTokens(blockHashes: readonly string[], nowMs: number, isPendingHeld: boolean): number {
    let count = 0;
    for (; count < blockHashes.length; count += 1) {
      const hash = blockHashes[count] ?? '';
      const seenAtMs = this.#seenAtMs.get(hash);
      if (seenAtMs === undefined || nowMs - seenAtMs > HINT_AGE_MS / 2) break;
      if (!isPendingHeld && (this.#readyAtMs.get(hash) ?? 0) > nowMs) break;
    }
    return count * BLOCK_TOKENS;
  }

  /** @param blockHash - a block that the cache no longer holds */
  noteRemoved(blockHash: string): void {
    this.#readyAtMs.delete(blockHash);
    this.#seenAtMs.delete(blockHash);
  }

  /** Forgets everything, as after a restart of the backend server. */
  expireAll(): void {
    this.#seenAtMs.clear();
    this.#readyAtMs.clear();
  }

  /**
   * Predicts how much of a prompt the cache holds.
   *
   * @param blockHashes - the prompt's blocks, first one first
   * @param nowMs - monotonic time in milliseconds
   * @returns tokens, worth less the older the hint is
   */
  predictCachedTokens(blockHashes: readonly string[], nowMs: number): number {
    let tokens = 0;
    for (let index = 0; index < blockHashes.length; index += 1) {
      const seenAtMs = this.#seenAtMs.get(blockHashes[index] ?? '');
      if (seenAtMs === undefined) return tokens;
      const worth = 1 - (nowMs - seenAtMs) / HINT_AGE_MS;
      if (worth <= 0) return tokens;
      tokens += BLOCK_TOKENS * Math.min(1, worth);
    }
    return tokens;
  }
}
