/**
 * What can be said of a prompt before an engine has seen it: its length in
 * tokens, and the hashes by which engines name the blocks of their caches.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** Characters of ordinary prose to a token; an estimate, no tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Characters in one block of a prefix cache. */
export const BLOCK_CHARACTERS = 256;

/** Tokens in one block of a prefix cache, by the same estimate. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Leading hex characters of the digest that name a block. */
const BLOCK_HASH_LENGTH = 16;

/**
 * Most blocks of one prompt that are hashed. Later blocks are found in a cache
 * only behind all of these, and hashing a prompt of megabytes would hold up
 * every other request of the process.
 */
export const MAX_HASHED_BLOCKS = 512;

/**
 * Predicts how many tokens a text has.
 *
 * @param text - the text, such as a prompt
 * @returns the estimate in tokens, rounded up
 */
export function predictTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Hashes the full blocks of a prompt. Each hash covers all blocks before it, so
 * two prompts share a hash only where they share the whole prefix.
 *
 * @param prompt - contents of all messages, joined by line feeds
 * @returns a hash for each full block in lower-case hex, first block first; at
 *   most {@link MAX_HASHED_BLOCKS}
 */
export function hashBlocks(prompt: string): string[] {
  const blockCount = Math.min(Math.floor(prompt.length / BLOCK_CHARACTERS), MAX_HASHED_BLOCKS);
  const hashes: string[] = [];
  let previous = '';
  for (let index = 0; index < blockCount; index += 1) {
    const block = prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS);
    previous = createHash('sha256')
      .update(previous + block)
      .digest('hex')
      .slice(0, BLOCK_HASH_LENGTH);
    hashes.push(previous);
  }
  return hashes;
}
