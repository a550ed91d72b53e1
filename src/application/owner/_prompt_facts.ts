/**
 * What the scheduling of a call needs to know of its body.
 *
 * @module
 */
import { ServiceKind } from '../../domain/contracts/types.js';
import { hashBlocks, predictTokens } from '../../domain/scheduling/mod.js';
import type { OwnedCall } from './owned_call.js';

/** Facts of one call's body. */
export interface PromptFacts {
  readonly promptTokens: number;
  /** Most output that the caller allows, in tokens; undefined where it sets no limit. */
  readonly maxOutputTokens: number | undefined;
  /** Chained hashes of the prompt's blocks. */
  readonly blockHashes: readonly string[];
}

/** The part of a chat completion's body that is looked at. */
interface ChatBody {
  readonly messages?: readonly { readonly content?: unknown }[];
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
}

/**
 * Reads the facts of a call's body. The callers' listener has checked a chat
 * completion's form already; whatever can't be read counts by its length.
 *
 * @param call - the call
 * @returns its facts
 */
export function readPromptFacts(call: OwnedCall): PromptFacts {
  const text = Buffer.from(call.body).toString('utf8');
  const body = call.service.kind === ServiceKind.Model ? parseBody(text) : undefined;
  if (!body) {
    return { promptTokens: predictTokens(text), maxOutputTokens: undefined, blockHashes: [] };
  }
  const prompt = (body.messages ?? []).map((message) => toText(message.content)).join('\n');
  const limit = body.max_completion_tokens ?? body.max_tokens;
  return {
    promptTokens: predictTokens(prompt),
    maxOutputTokens: typeof limit === 'number' ? limit : undefined,
    blockHashes: hashBlocks(prompt),
  };
}

function parseBody(text: string): ChatBody | undefined {
  try {
    const body = JSON.parse(text) as ChatBody | null;
    return body !== null && Array.isArray(body.messages ?? []) ? body : undefined;
  } catch {
    return undefined;
  }
}

function toText(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}
