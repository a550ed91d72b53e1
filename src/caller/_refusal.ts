/**
 * Error answers of entry hosts.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import * as z from 'zod';
import { ErrorKind, RunOutcome } from '../domain/errors/mod.js';

const MAX_ERROR_BYTES = 1_048_576;
const FIRST_ERROR_STATUS = 400;

const refusalSchema = z.object({
  error: z.object({
    message: z.string(),
    code: z.string(),
    run: z.enum(RunOutcome),
    retryAfterMs: z.number().min(0),
  }),
});

/** What an entry host's error says. */
export type Refusal = z.infer<typeof refusalSchema>['error'];

/**
 * Kinds that the entry host in between may answer without having asked the
 * owner: another entry host may know more.
 */
const RETRYABLE_ELSEWHERE_CODES: ReadonlySet<string> = new Set([
  ErrorKind.EntryHostStopping,
  ErrorKind.TooManyConnections,
  ErrorKind.ConfigurationMissing,
  ErrorKind.OwnerUnreachable,
]);

/** Refusals that only the owner gives, about the request itself. */
const OWNER_CODES: ReadonlySet<string> = new Set([
  ErrorKind.RateLimited,
  ErrorKind.TokensLimited,
  ErrorKind.InFlightLimited,
  ErrorKind.TierClosed,
  ErrorKind.QueueFull,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.DeadlineExpired,
  ErrorKind.NoBackendServer,
  ErrorKind.BackendServerRefused,
  ErrorKind.Cancelled,
]);

/** Refusals by a listener's own rules, made before it passes a call on. */
const LISTENER_CODES: ReadonlySet<string> = new Set([
  ErrorKind.MalformedRequest,
  ErrorKind.BodyTooLarge,
  ErrorKind.HeaderTooLarge,
  ErrorKind.RequestTimeout,
  ErrorKind.NotFound,
  ErrorKind.MethodNotAllowed,
  ErrorKind.Unauthenticated,
  ErrorKind.UnknownModel,
  ErrorKind.TooManyConnections,
]);

/** @param code - of an error answer. @returns whether another entry host may answer better */
export function isRetryableElsewhere(code: string): boolean {
  return RETRYABLE_ELSEWHERE_CODES.has(code);
}

/** @param code - of an error answer. @returns whether it comes from the request's owner */
export function isFromOwner(code: string): boolean {
  return OWNER_CODES.has(code);
}

/** @param code - of an error answer. @returns whether the listener passed nothing on */
export function isFromListener(code: string): boolean {
  return LISTENER_CODES.has(code);
}

/** @param code - of an error answer. @returns whether the owner was asked and did not answer */
export function isOwnerUnreachable(code: string): boolean {
  return code === String(ErrorKind.OwnerUnreachable);
}

/** @param code - of an error answer. @returns whether the owner's process has ended */
export function isOwnerGone(code: string): boolean {
  return code === String(ErrorKind.OwnerGone);
}

/**
 * Parses an error as entry hosts write it.
 *
 * @param text - a body, or the data of an event
 * @returns the error; undefined when the text is something else, such as a backend server's own error
 */
export function parseRefusal(text: string): Refusal | undefined {
  try {
    return refusalSchema.safeParse(JSON.parse(text)).data?.error;
  } catch {
    return undefined;
  }
}

/**
 * Reads a whole body.
 *
 * @param answer - the answer
 * @returns its body
 * @throws Error when it is too long or breaks off
 */
export async function readBody(answer: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of answer as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_ERROR_BYTES)
      throw new Error(`the body is longer than ${MAX_ERROR_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

/** An answer's head, and its body where that had to be read to know what the answer is. */
export interface OpenedAnswer {
  readonly head: IncomingMessage;
  /** Set for error statuses: the body, read whole. */
  readonly body: Buffer | undefined;
  readonly refusal: Refusal | undefined;
}

/**
 * Tells an entry host's refusal from a backend server's answer.
 *
 * @param head - the answer's head
 * @returns what it is
 */
export async function openAnswer(head: IncomingMessage): Promise<OpenedAnswer> {
  if ((head.statusCode ?? 0) < FIRST_ERROR_STATUS)
    return { head, body: undefined, refusal: undefined };
  const body = await readBody(head);
  return { head, body, refusal: parseRefusal(body.toString('utf8')) };
}
