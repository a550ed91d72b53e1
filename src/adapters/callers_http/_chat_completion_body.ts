/**
 * The part of a chat completion's body that the listener has to understand.
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

/** A chat completion's body; fields that are not named pass unread. */
export type ChatCompletionBody = z.infer<typeof chatCompletionSchema>;

/**
 * Parses a chat completion's body.
 *
 * @param bytes - the body as it came
 * @returns its parts
 * @throws SchedulerError of kind MalformedRequest that names the wrong field
 */
export function parseChatCompletionBody(bytes: Uint8Array): ChatCompletionBody {
  const parsed = chatCompletionSchema.safeParse(parseJson(bytes));
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const field = issue?.path.join('.') || 'body';
  throw refuseBody(`${field}: ${issue?.message ?? 'not valid'}`);
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch {
    throw refuseBody('it is not JSON in UTF-8');
  }
}

function refuseBody(reason: string): SchedulerError {
  return new SchedulerError(ErrorKind.MalformedRequest, {
    message: `Cannot take the chat completion: ${reason}`,
  });
}
