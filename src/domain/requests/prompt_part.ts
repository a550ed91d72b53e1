/**
 * Parts of prompts, which requests share.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** Maximum number of parts of one prompt that are looked at. */
const MAX_SHARED_PARTS = 64;

/** Bytes of the hash that identify a part: 96 bits, as for contents. */
const PART_ID_BYTES = 12;

/** One part of a prompt. An engine that has read it for one request need not for the next one. */
export interface PromptPart {
  /** What the caller calls it; requests with the same part name it alike. */
  readonly id: string;
  readonly tokens: number;
}

/** The prompt of a request, as far as its caller describes it. */
export interface RequestPrompt {
  /** Model that reads it; empty if the caller names none. */
  readonly model: string;
  /** Its parts in order; the last one belongs to this request or its session alone. */
  readonly parts: readonly PromptPart[];
}

/**
 * Lists the parts that a prompt may share with other prompts: all but the last, each once. The same
 * part of another model is another one, as it is read by other weights.
 *
 * @param prompt - a prompt; undefined if its caller describes none
 * @returns IDs of at most 64 parts, of the form of content IDs
 */
export function listSharedPartIds(prompt: RequestPrompt | undefined): string[] {
  if (!prompt) return [];
  const shared = new Set(prompt.parts.slice(0, -1).map(({ id }) => id));
  return [...shared].slice(0, MAX_SHARED_PARTS).map((id) => hashPart(prompt.model, id));
}

function hashPart(model: string, id: string): string {
  const hash = createHash('sha256').update(`part\n${model}\n${id}`).digest('hex');
  return hash.slice(0, 2 * PART_ID_BYTES);
}
