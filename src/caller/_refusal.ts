/**
 * Parses the error answers of entry hosts and classifies their codes.
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

/** The error object in an entry host's error answer. */
export type Refusal = z.infer<typeof refusalSchema>['error'];

/**
 * Codes that an entry host may return without an answer from the request's owner. Another entry
 * host may still reach the owner.
 */
const RETRYABLE_ELSEWHERE_CODES: ReadonlySet<string> = new Set([
  ErrorKind.EntryHostStopping,
  ErrorKind.TooManyConnections,
  ErrorKind.ConfigurationMissing,
  ErrorKind.OwnerUnreachable,
]);

/** Codes that only the request's owner returns. */
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

/** Codes of checks that the listening entry host makes before it forwards a call. */
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

/** @param code - code of an error. @returns whether another entry host may still have an answer */
export function isRetryableElsewhere(code: string): boolean {
  return RETRYABLE_ELSEWHERE_CODES.has(code);
}

/** @param code - code of an error. @returns whether only the request's owner returns the code */
export function isFromOwner(code: string): boolean {
  return OWNER_CODES.has(code);
}

/** @param code - code of an error. @returns whether the listener refused before forwarding */
export function isFromListener(code: string): boolean {
  return LISTENER_CODES.has(code);
}

/** @param code - code of an error. @returns whether the owner did not reply to the entry host */
export function isOwnerUnreachable(code: string): boolean {
  return code === String(ErrorKind.OwnerUnreachable);
}

/** @param code - code of an error. @returns whether the owner's process has ended */
export function isOwnerGone(code: string): boolean {
  return code === String(ErrorKind.OwnerGone);
}

/**
 * Parses the error format of entry hosts.
 *
 * @param text - the body of an answer, or the data of an event
 * @returns the error; undefined for any other text, such as a backend server's own error
 */
export function parseRefusal(text: string): Refusal | undefined {
  try {
    return refusalSchema.safeParse(JSON.parse(text)).data?.error;
  } catch {
    return undefined;
  }
}

/**
 * Reads a body into memory.
 *
 * @param answer - the answer to read
 * @returns the complete body
 * @throws Error when the body is too long or breaks off
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

/** An answer whose head has arrived and whose error body, if any, has been read. */
export interface OpenedAnswer {
  readonly head: IncomingMessage;
  /** The complete body for an error status; undefined for any other status. */
  readonly body: Buffer | undefined;
  /** The entry host's error; undefined when a backend server answered. */
  readonly refusal: Refusal | undefined;
}

/**
 * Distinguishes an entry host's refusal from a backend server's answer.
 *
 * @param head - the head of the answer
 * @returns the answer, with the refusal if it is one
 */
export async function openAnswer(head: IncomingMessage): Promise<OpenedAnswer> {
  if ((head.statusCode ?? 0) < FIRST_ERROR_STATUS)
    return { head, body: undefined, refusal: undefined };
  const body = await readBody(head);
  return { head, body, refusal: parseRefusal(body.toString('utf8')) };
}
