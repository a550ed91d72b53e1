/**
 * Goes on with an answer when the owner of its request is lost: directly from the backend server,
 * or from the owner once its link is back.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import { mayContinueStream, parseSoftwareVersion } from '../../domain/streams/mod.js';
import { BackendCallError } from '../../ports/mod.js';
import type { BackendAnswer, BackendServerClient, Clock } from '../../ports/mod.js';
import { CheckedBody } from '../owner/mod.js';
import type { AnswerHead } from '../owner/mod.js';
import type { CallerAnswer, ConfigurationView, ReadOptions } from '../views/mod.js';

/** Time within which the link to an owner must be back, in milliseconds. */
const MAX_LOST_MS = 3_000;

/** Interval at which an owner without a link is asked again, in milliseconds. */
const ASK_INTERVAL_MS = 100;

/** Dependencies of a stream's failover. */
export interface FailoverContext {
  readonly clock: Clock;
  readonly configuration: ConfigurationView;
  readonly backend: BackendServerClient;
}

/** Where an answer is read from, and for whom. */
export interface RelayStart {
  /** Offset of the first byte. */
  readonly offset: number;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
  /** Reads the answer again at its owner, from an offset; starts no work. */
  readonly readAgain: (offset: number) => Promise<RelayedAnswer>;
}

/** An answer that arrives through the owner of its request. */
export interface RelayedAnswer {
  readonly head: AnswerHead;
  readonly body: AsyncIterable<Uint8Array>;
}

const OWNER_LOST_KINDS = new Set([ErrorKind.OwnerGone, ErrorKind.OwnerUnreachable]);

/**
 * Resumes a stream for a caller that names its backend server and stream ID. This starts no
 * work: the engine either still has the stream or it does not.
 *
 * @param context - dependencies
 * @param id - the request's ID
 * @param error - why the owner could not be reached
 * @param options - the caller's position in the answer, and where the stream runs
 * @returns the rest of the answer
 * @throws SchedulerError the given error, when the stream can't be resumed
 */
export async function resumeForCaller(
  context: FailoverContext,
  id: RequestId,
  error: unknown,
  options: ReadOptions,
): Promise<CallerAnswer> {
  const answer = isOwnerLost(error) ? await resumeStream(context, options) : undefined;
  if (!answer) throw error;
  return {
    requestId: id.text,
    status: answer.status,
    isFramed: answer.isFramed,
    headers: {
      ...answer.headers,
      'request-id': id.text,
      'backend-server': options.backendServer ?? '',
      'stream-id': options.streamId ?? '',
    },
    body: readRest(answer, new CheckedBody(answer)),
  };
}

/**
 * Relays an answer and, if its owner is lost in the middle, continues at the same byte from the
 * backend server, or from the owner once its link is back.
 *
 * @param context - dependencies
 * @param id - the request's ID
 * @param answer - the answer as it arrives from the owner
 * @param start - where the answer is read from, and for whom
 * @returns the answer for the caller
 */
export function relayWithFailover(
  context: FailoverContext,
  id: RequestId,
  answer: RelayedAnswer,
  start: RelayStart,
): CallerAnswer {
  return {
    requestId: id.text,
    ...answer.head,
    body: readWithFailover(context, answer, start),
  };
}

async function* readWithFailover(
  context: FailoverContext,
  answer: RelayedAnswer,
  start: RelayStart,
): AsyncGenerator<Uint8Array> {
  let { offset } = start;
  let { body } = answer;
  const checkedBody = new CheckedBody(answer.head);
  for (;;) {
    try {
      for await (const bytes of body) {
        offset += bytes.length;
        checkedBody.observe(bytes);
        yield bytes;
      }
      return;
    } catch (error) {
      if (!isOwnerLost(error)) throw error;
      const rest = await resumeAtServer(context, answer.head, { ...start, offset });
      if (rest) {
        yield* readRest(rest, checkedBody);
        return;
      }
      body = await readAgain(context, { ...start, offset }, error);
    }
  }
}

function resumeAtServer(
  context: FailoverContext,
  { headers }: AnswerHead,
  { offset, callerGone }: RelayStart,
): Promise<BackendAnswer | undefined> {
  return resumeStream(context, {
    offset,
    backendServer: headers['backend-server'],
    streamId: headers['stream-id'],
    softwareVersion: parseSoftwareVersion(headers['backend-server-version']),
    callerGone,
  });
}

/**
 * Waits for the link to an owner. Its run goes on, and it keeps the answer.
 *
 * @param context - dependencies
 * @param start - what the caller lacks
 * @param lost - how the owner was lost, thrown when it doesn't come back in time
 * @returns the rest of the answer
 */
async function readAgain(
  { clock }: FailoverContext,
  start: RelayStart,
  lost: unknown,
): Promise<AsyncIterable<Uint8Array>> {
  const untilMs = clock.nowMs() + MAX_LOST_MS;
  while (clock.nowMs() < untilMs && !start.callerGone.aborted) {
    try {
      return (await start.readAgain(start.offset)).body;
    } catch (error) {
      if (!isOwnerAway(error)) throw lost;
    }
    await wait(clock, ASK_INTERVAL_MS);
  }
  throw lost;
}

function wait(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}

async function resumeStream(
  context: FailoverContext,
  options: ReadOptions,
): Promise<BackendAnswer | undefined> {
  const backendServer = context.configuration.findBackendServer(options.backendServer ?? '');
  if (!backendServer || !options.streamId) return undefined;
  // An answer of a server that names no version is read on by its stream's ID alone.
  const origin = options.softwareVersion && {
    serviceId: backendServer.serviceId,
    version: options.softwareVersion,
  };
  if (!mayContinueStream(origin, backendServer.softwareVersion)) return undefined;
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

async function* readRest(
  answer: BackendAnswer,
  checkedBody: CheckedBody,
): AsyncGenerator<Uint8Array> {
  try {
    yield* checkedBody.read(answer);
  } catch (error) {
    if (!(error instanceof BackendCallError)) throw error;
    throw new SchedulerError(ErrorKind.AnswerCut, {
      message: `Cannot read the rest of the answer: ${error.message}`,
      cause: error,
    });
  }
}

function isOwnerLost(error: unknown): boolean {
  return error instanceof SchedulerError && OWNER_LOST_KINDS.has(error.kind);
}

/** Its process may still be there. */
function isOwnerAway(error: unknown): boolean {
  return error instanceof SchedulerError && error.kind === ErrorKind.OwnerUnreachable;
}
