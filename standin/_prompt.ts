/**
 * Prompts, their tokens and their blocks.
 *
 * @module
 */
import { createHash } from 'node:crypto';

const CHARACTERS_PER_TOKEN = 4;
const CHARACTERS_PER_BLOCK = 256;
const HASH_CHARACTERS = 16;
const DEFAULT_OUTPUT_TOKENS = 64;
const MAX_OUTPUT_TOKENS = 8192;

/** Tokens of one block of the prefix cache. */
export const TOKENS_PER_BLOCK = CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN;

interface ChatMessage {
  readonly content?: string | readonly { readonly text?: string }[];
}

interface ChatBody {
  readonly model?: string;
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
  readonly messages?: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly metadata?: { readonly output_tokens?: string | number };
}

/** What a chat completion asks for. */
export interface Prompt {
  readonly model: string;
  readonly streamed: boolean;
  readonly includesUsage: boolean;
  readonly text: string;
  readonly tokens: number;
  readonly blockHashes: readonly string[];
  /** How long the answer will be, in tokens. */
  readonly outputTokens: number;
}

function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_CHARACTERS);
}

function parseContent(message: ChatMessage): string {
  const { content } = message;
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
}

/**
 * Computes the chained hashes of a prompt's full blocks.
 *
 * @param text - the prompt
 * @returns one hash a block
 */
export function computeBlockHashes(text: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (let end = CHARACTERS_PER_BLOCK; end <= text.length; end += CHARACTERS_PER_BLOCK) {
    previous = hashText(previous + text.slice(end - CHARACTERS_PER_BLOCK, end));
    hashes.push(previous);
  }
  return hashes;
}

/** `metadata.output_tokens` lets a load tool set lengths that no scheduler reads. */
function pickOutputTokens(body: ChatBody): number {
  const limit = body.max_completion_tokens ?? body.max_tokens;
  const wish = Number(body.metadata?.output_tokens ?? limit ?? DEFAULT_OUTPUT_TOKENS);
  return Math.max(1, Math.min(wish, limit ?? MAX_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS));
}

/**
 * Parses a chat completion's body.
 *
 * @param body - JSON
 * @returns what it asks for
 * @throws SyntaxError when it is no JSON
 */
export function parsePrompt(body: Buffer): Prompt {
  const chat = JSON.parse(body.toString()) as ChatBody;
  const text = (chat.messages ?? []).map(parseContent).join('\n');
  return {
    model: chat.model ?? '',
    streamed: chat.stream === true,
    includesUsage: chat.stream_options?.include_usage === true,
    text,
    tokens: Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN)),
    blockHashes: computeBlockHashes(text),
    outputTokens: pickOutputTokens(chat),
  };
}

/**
 * Builds one token of an answer. It names its prompt and its place, so that a
 * crossed, doubled or torn answer shows.
 *
 * @param promptText - what is answered
 * @returns the text of the token with a given number
 */
export function buildAnswerTokens(promptText: string): (index: number) => string {
  const mark = hashText(promptText).slice(0, 8);
  return (index) => `${mark}.${index} `;
}

/**
 * Builds the whole answer to a prompt, as an engine gives it.
 *
 * @param promptText - messages' contents joined by line feeds
 * @param outputTokens - length of the answer in tokens
 * @returns the answer's text
 */
export function buildAnswerText(promptText: string, outputTokens: number): string {
  const buildToken = buildAnswerTokens(promptText);
  return Array.from({ length: outputTokens }, (_, index) => buildToken(index)).join('');
}
