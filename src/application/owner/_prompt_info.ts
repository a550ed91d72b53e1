/**
 * Extracts from a call's body what its scheduling needs.
 *
 * @module
 */
import { ServiceKind } from '../../domain/contracts/types.js';
import { hashBlocks, predictTokens } from '../../domain/scheduling/mod.js';
import type { OwnedCall } from './owned_call.js';

/** Scheduling inputs from a call's body. */
export interface PromptInfo {
  /** Estimated size of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Maximum output that the caller allows, in tokens; undefined if it sets no limit. */
  readonly maxOutputTokens: number | undefined;
  /** Chained hashes of the prompt's blocks; empty for plain services and unreadable bodies. */
  readonly blockHashes: readonly string[];
}

/** Fields of a chat completion request that are read. */
interface ChatBody {
  readonly messages?: readonly { readonly content?: unknown }[];
  readonly max_tokens?: unknown;
  readonly max_completion_tokens?: unknown;
}

/**
 * Reads the scheduling inputs of a call. The callers' listener has already validated
 * chat completion requests; the prompt size of any other or unreadable body is
 * estimated from the length of its text.
 *
 * @param call - the call
 * @returns its prompt info
 */
export function readPromptInfo(call: OwnedCall): PromptInfo {
  const text = Buffer.from(call.body).toString('utf8');
  const body = call.service.kind === ServiceKind.Model ? parseChatBody(text) : undefined;
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

function parseChatBody(text: string): ChatBody | undefined {
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
