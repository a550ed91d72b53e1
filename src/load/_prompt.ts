/**
 * Prompts of a wanted length, with shared beginnings.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { Arrival } from './arrivals.js';

const CHARACTERS_PER_TOKEN = 4;
const MARK_CHARACTERS = 8;

/**
 * Builds a prompt: the shared prefix, then text that no other prompt has.
 *
 * @param arrival - whose prompt
 * @returns text of about `promptTokens` tokens
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
 * @returns first digits of its SHA-256
 */
export function deriveMark(prompt: string): string {
  return createHash('sha256').update(prompt).digest('hex').slice(0, MARK_CHARACTERS);
}

function fillText(phrase: string, length: number): string {
  return phrase.repeat(Math.ceil(length / phrase.length)).slice(0, length);
}
