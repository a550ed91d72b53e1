/**
 * Estimates a prompt's length in tokens, and computes the hashes by which
 * engines identify the blocks of their prefix caches.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** Characters per token in ordinary prose; an estimate made without a tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Characters in one block of a prefix cache. */
export const BLOCK_CHARACTERS = 256;

/** Tokens in one block of a prefix cache, by the same estimate. */
export const BLOCK_TOKENS = BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;

/** Leading hex characters of the digest that identify a block. */
const BLOCK_HASH_LENGTH = 16;

/**
 * Most blocks of one prompt that are hashed. A cache can hold later blocks only
 * together with all of these, and hashing megabytes of prompt would block every
 * other request of the process.
 */
export const MAX_HASHED_BLOCKS = 512;

/**
 * Estimates how many tokens a text has.
 *
 * @param text - the text, such as a prompt
 * @returns the estimate in tokens, rounded up
 */
export function predictTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Hashes the full blocks of a prompt. Each hash covers all preceding blocks, so
 * two prompts share a hash only if they share the whole prefix.
 *
 * @param prompt - contents of all messages, joined by line feeds
 * @returns one hash for each full block in lower-case hex, first block first;
 *   at most {@link MAX_HASHED_BLOCKS}
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
