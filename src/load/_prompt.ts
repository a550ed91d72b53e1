/**
 * Builds prompts of a given length with shared prefixes.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { Arrival } from './arrivals.js';

const CHARACTERS_PER_TOKEN = 4;
const MARK_CHARACTERS = 8;

/**
 * Builds a prompt: the shared prefix, then text that is unique to the prompt.
 *
 * @param arrival - the request that the prompt is for
 * @returns text of `promptTokens` tokens at four characters each
 */
export function buildPrompt(arrival: Arrival): string {
  const length = arrival.promptTokens * CHARACTERS_PER_TOKEN;
  const prefixLength =
    arrival.prefix === undefined ? 0 : arrival.work.prefixTokens * CHARACTERS_PER_TOKEN;
  const prefix = fillText(`Notes of ${arrival.prefix ?? ''}. `, prefixLength);
  return prefix + fillText(`Case ${arrival.index} at ${arrival.atMs}. `, length - prefixLength);
}

/**
 * Derives the mark that the stand-in engines put into each token of an answer.
 *
 * @param prompt - the prompt
 * @returns the first eight hex digits of the prompt's SHA-256 hash
 */
export function deriveMark(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, MARK_CHARACTERS);
}

function fillText(phrase: string, length: number): string {
  return phrase.repeat(Math.ceil(length / phrase.length)).slice(0, length);
}
