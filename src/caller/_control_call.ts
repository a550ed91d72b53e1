/**
 * Sends short calls that any entry host can answer: request an ID, read a state, cancel.
 *
 * @module
 */
import { RunOutcome } from '../domain/errors/mod.js';
import { buildAuthorization } from './_call_context.js';
import type { CallContext } from './_call_context.js';
import { closeIdleConnections, Exchange } from './_exchange.js';
import { isRetryableElsewhere, openAnswer, readBody } from './_refusal.js';
import { WaitTimeoutError, waitWithin } from './_wait_within.js';
import { CallerError, LocalErrorCode } from './caller_error.js';

const CONTROL_TIMEOUT_MS = 5000;

/** A control call; `path` is relative to an entry host's base URL. */
export interface ControlCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal | undefined;
}

async function sendTo(context: CallContext, url: string, call: ControlCall): Promise<unknown> {
  const exchange = new Exchange(
    {
      url: `${url}${call.path}`,
      method: call.method,
      headers: { ...call.headers, ...buildAuthorization(context.apiKey) },
      signal: call.signal,
    },
    context.agents,
    context.clock,
  );
  try {
    return await waitWithin(readAnswer(exchange), context.clock, CONTROL_TIMEOUT_MS);
  } catch (error) {
    exchange.close();
    if (!(error instanceof WaitTimeoutError) || !exchange.isOnReusedConnection) throw error;
    // The remote end, or a device on the way, may have dropped the reused connection without
    // closing it. A client with a single URL would then fail as unreachable although a new
    // connection to that URL works, so the call is repeated over a new connection.
    closeIdleConnections(context.agents);
    return sendTo(context, url, call);
  }
}

async function readAnswer(exchange: Exchange): Promise<unknown> {
  const { head, body, refusal } = await openAnswer(await exchange.head);
  if (refusal) {
    const { code, run, message, retryAfterMs } = refusal;
    const status = head.statusCode;
    throw new CallerError(run, message, { code, retryAfterMs, status });
  }
  const text = (body ?? (await readBody(head))).toString('utf8');
  if (head.statusCode !== 200)
    throw new Error(`the entry host answered with status ${head.statusCode}`);
  return JSON.parse(text) as unknown;
}

function isFinal(error: unknown): error is CallerError {
  return error instanceof CallerError && !isRetryableElsewhere(error.code);
}

/**
 * Sends the call to one entry host after the other until one answers. Control calls are
 * idempotent, so sending one several times is safe.
 *
 * @param context - shared by the client's calls
 * @param call - the call to send
 * @returns the decoded JSON of the answer
 * @throws CallerError when the call is refused or no entry host answers
 */
export async function sendControlCall(context: CallContext, call: ControlCall): Promise<unknown> {
  let lastError: unknown;
  for (const url of context.addresses.list()) {
    try {
      return await sendTo(context, url, call);
    } catch (error) {
      call.signal?.throwIfAborted();
      if (isFinal(error)) throw error;
      context.addresses.recordFailure(url);
      lastError = error;
    }
  }
  if (lastError instanceof CallerError) throw lastError;
  const reason = lastError instanceof Error ? lastError.message : 'no URL is known';
  throw new CallerError(RunOutcome.NotRun, `No entry host answered: ${reason}`, {
    code: LocalErrorCode.Unreachable,
    cause: lastError,
  });
}
