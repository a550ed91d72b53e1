/**
 * Goes on with a stream whose owner was lost, straight from the backend server.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import { BackendCallError } from '../../ports/mod.js';
import type { BackendAnswer, BackendServerClient } from '../../ports/mod.js';
import type { AnswerHead } from '../owner/mod.js';
import type { CallerAnswer, ConfigurationView, ReadOptions } from '../views/mod.js';

/** What a rescue needs. */
export interface RescueContext {
  readonly configuration: ConfigurationView;
  readonly backend: BackendServerClient;
}

/** An answer that came through its owner so far. */
export interface PassedAnswer {
  readonly head: AnswerHead;
  readonly body: AsyncIterable<Uint8Array>;
}

const LOST_OWNER_KINDS = new Set([ErrorKind.OwnerGone, ErrorKind.OwnerUnreachable]);

/**
 * Resumes a stream for a caller that remembers where it ran. It starts nothing:
 * the engine either still has the stream or it does not.
 *
 * @param context - what it needs
 * @param id - the request's ID
 * @param error - why the owner could not be asked
 * @param options - where the caller is in the answer
 * @returns the rest of the answer
 * @throws SchedulerError the given one, where the stream can't be resumed
 */
export async function resumeForCaller(
  context: RescueContext,
  id: RequestId,
  error: unknown,
  options: ReadOptions,
): Promise<CallerAnswer> {
  const answer = isLostOwner(error) ? await resumeStream(context, options) : undefined;
  if (!answer) throw error;
  return {
    requestId: id.text,
    status: answer.status,
    headers: {
      ...answer.headers,
      'request-id': id.text,
      'backend-server': options.backendServer ?? '',
      'stream-id': options.streamId ?? '',
    },
    body: readRest(answer),
  };
}

/**
 * Passes an answer on and, should its owner be lost in the middle, goes on from
 * the backend server at the same byte.
 *
 * @param context - what it needs
 * @param id - the request's ID
 * @param answer - the answer as it comes from the owner
 * @param start - the first byte's offset, and the caller's connection
 * @returns the answer for the caller
 */
export function passWithRescue(
  context: RescueContext,
  id: RequestId,
  answer: PassedAnswer,
  start: { readonly offset: number; readonly callerGone: AbortSignal },
): CallerAnswer {
  return {
    requestId: id.text,
    status: answer.head.status,
    headers: answer.head.headers,
    body: readWithRescue(context, answer, start),
  };
}

async function* readWithRescue(
  context: RescueContext,
  answer: PassedAnswer,
  start: { readonly offset: number; readonly callerGone: AbortSignal },
): AsyncGenerator<Uint8Array> {
  let { offset } = start;
  try {
    for await (const bytes of answer.body) {
      offset += bytes.length;
      yield bytes;
    }
  } catch (error) {
    const { headers } = answer.head;
    const rest = isLostOwner(error)
      ? await resumeStream(context, {
          offset,
          backendServer: headers['backend-server'],
          streamId: headers['stream-id'],
          callerGone: start.callerGone,
        })
      : undefined;
    if (!rest) throw error;
    yield* readRest(rest);
  }
}

async function resumeStream(
  context: RescueContext,
  options: ReadOptions,
): Promise<BackendAnswer | undefined> {
  const backendServer = context.configuration.findBackendServer(options.backendServer ?? '');
  if (!backendServer || !options.streamId) return undefined;
  try {
    return await context.backend.resume({
      backendServer,
      streamId: options.streamId,
      offset: options.offset,
      signal: options.callerGone,
    });
  } catch (error) {
    if (error instanceof BackendCallError) return undefined;
    throw error;
  }
}

async function* readRest(answer: BackendAnswer): AsyncGenerator<Uint8Array> {
  try {
    yield* answer.body;
  } catch (error) {
    if (!(error instanceof BackendCallError)) throw error;
    throw new SchedulerError(ErrorKind.AnswerCut, {
      message: `Cannot read the rest of the answer: ${error.message}`,
      cause: error,
    });
  }
}

function isLostOwner(error: unknown): boolean {
  return error instanceof SchedulerError && LOST_OWNER_KINDS.has(error.kind);
}
