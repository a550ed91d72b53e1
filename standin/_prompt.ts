/**
 * Parses prompts, splits them into tokens and cache blocks, and builds the answers to them.
 *
 * @module
 */
import { createHash } from 'node:crypto';

const CHARACTERS_PER_TOKEN = 4;
const CHARACTERS_PER_BLOCK = 256;
const HASH_CHARACTERS = 16;
const DEFAULT_OUTPUT_TOKENS = 64;
const MAX_OUTPUT_TOKENS = 8192;

/** Number of tokens in one block of the prefix cache. */
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

/** The parsed body of a chat completion request. */
export interface Prompt {
  readonly model: string;
  readonly isStreaming: boolean;
  readonly mustIncludeUsage: boolean;
  readonly text: string;
  readonly tokens: number;
  readonly blockHashes: readonly string[];
  /** Length of the answer in tokens. */
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
 * Computes the chained hashes of the full blocks of a prompt. Each hash covers the prompt from
 * its start to the end of the block.
 *
 * @param text - text of the prompt
 * @returns one hash per full block
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

/** Prefers `metadata.output_tokens`, by which a load tool sets a length hidden from schedulers. */
function pickOutputTokens(body: ChatBody): number {
  const limit = body.max_completion_tokens ?? body.max_tokens;
  const requested = Number(body.metadata?.output_tokens ?? limit ?? DEFAULT_OUTPUT_TOKENS);
  return Math.max(1, Math.min(requested, limit ?? MAX_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS));
}

/**
 * Parses the body of a chat completion request.
 *
 * @param body - the body, JSON
 * @returns the parsed prompt
 * @throws SyntaxError if the body is not JSON
 */
export function parsePrompt(body: Buffer): Prompt {
  const chat = JSON.parse(body.toString()) as ChatBody;
  const text = (chat.messages ?? []).map(parseContent).join('\n');
  return {
    model: chat.model ?? '',
    isStreaming: chat.stream === true,
    mustIncludeUsage: chat.stream_options?.include_usage === true,
    text,
    tokens: Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN)),
    blockHashes: computeBlockHashes(text),
    outputTokens: pickOutputTokens(chat),
  };
}

/**
 * Creates the function that builds the tokens of an answer. Each token contains a digest of the
 * prompt and its own index, which reveals answers that are mixed up, duplicated or cut.
 *
 * @param promptText - text of the prompt
 * @returns a function that returns the text of the token with a given index
 */
export function createTokenBuilder(promptText: string): (index: number) => string {
  const promptDigest = hashText(promptText).slice(0, 8);
  return (index) => `${promptDigest}.${index} `;
}

/**
 * Builds the complete answer that an engine gives to a prompt.
 *
 * @param promptText - contents of the messages joined by line feeds
 * @param outputTokens - length of the answer in tokens
 * @returns the text of the answer
 */
export function buildAnswerText(promptText: string, outputTokens: number): string {
  const buildToken = createTokenBuilder(promptText);
  return Array.from({ length: outputTokens }, (_, index) => buildToken(index)).join('');
}
