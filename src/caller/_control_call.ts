/**
 * Short calls to whichever entry host answers: an ID, a state, a cancellation.
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

/** What is asked. */
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
    // The far end may have lost track of a kept connection. A caller that knows
    // one address would be told that nobody answers, while a new connection to
    // that address works.
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
  if (head.statusCode !== 200) throw new Error(`it answered ${head.statusCode}`);
  return JSON.parse(text) as unknown;
}

function isFinal(error: unknown): error is CallerError {
  return error instanceof CallerError && !isRetryableElsewhere(error.code);
}

/**
 * Asks one entry host after the other until one answers. Such calls change
 * nothing that asking twice would spoil.
 *
 * @param context - shared by the client's calls
 * @param call - what to ask
 * @returns the answer's JSON
 * @throws CallerError when it is refused, or nobody answers
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
  const reason = lastError instanceof Error ? lastError.message : 'there is no address';
  throw new CallerError(RunOutcome.NotRun, `No entry host answered: ${reason}`, {
    code: LocalErrorCode.Unreachable,
    cause: lastError,
  });
}
