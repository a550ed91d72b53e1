/**
 * Validates the fields of a chat completion request that the listener reads.
 *
 * @module
 */
import { TextDecoder } from 'node:util';
import * as z from 'zod';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

const chatCompletionSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({})),
  max_tokens: z.number().int().min(0).nullish(),
  stream: z.boolean().nullish(),
});

/** Body of a chat completion request; fields outside the schema are kept unchecked. */
export type ChatCompletionBody = z.infer<typeof chatCompletionSchema>;

/**
 * Parses the body of a chat completion request.
 *
 * @param bytes - the body as received
 * @returns the parsed body
 * @throws SchedulerError of kind MalformedRequest that names the invalid field
 */
export function parseChatCompletionBody(bytes: Uint8Array): ChatCompletionBody {
  const parsed = chatCompletionSchema.safeParse(parseJson(bytes));
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') || 'body';
  throw createBodyError(`${field}: ${issue?.message ?? 'not valid'}`);
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch {
    throw createBodyError('the body is not JSON in UTF-8');
  }
}

function createBodyError(reason: string): SchedulerError {
  return new SchedulerError(ErrorKind.MalformedRequest, {
    message: `Cannot accept the chat completion: ${reason}`,
  });
}
