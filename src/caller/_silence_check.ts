/**
 * Detects connections that were lost without an error.
 *
 * @module
 */
import * as z from 'zod';
import { RequestState } from '../domain/requests/request_state.js';
import type { CallContext } from './_call_context.js';
import { sendControlCall } from './_control_call.js';
import { closeIdleConnections, ExchangeError } from './_exchange.js';
import { WaitTimeoutError, waitWithin } from './_wait_within.js';

const FINAL_STATES: readonly RequestState[] = [
  RequestState.Answered,
  RequestState.Refused,
  RequestState.Failed,
];

const stateReportSchema = z.object({ state: z.enum(RequestState), answerBytes: z.number() });

/** How much of the answer to a request has arrived. */
export interface AnswerProgress {
  readonly requestId: string;
  /** Number of bytes of the answer's body received so far. */
  readonly offset: number;
  readonly signal: AbortSignal | undefined;
}

/** Asks for the request's state and returns whether the client lacks something of the answer. */
async function hasUnreceivedAnswer(
  context: CallContext,
  progress: AnswerProgress,
): Promise<boolean> {
  const path = `/v1/requests/${encodeURIComponent(progress.requestId)}`;
  try {
    const answer = await sendControlCall(context, { method: 'GET', path, signal: progress.signal });
    const { state, answerBytes } = stateReportSchema.parse(answer);
    return FINAL_STATES.includes(state) || answerBytes > progress.offset;
  } catch {
    progress.signal?.throwIfAborted();
    // No entry host reports a state. The only option left is to retry over a new connection.
    return true;
  }
}

/**
 * Waits for the next step of an exchange. A connection whose remote end has dropped it without
 * closing yields neither bytes nor an error, and the caller would wait forever. A queued request
 * may be just as silent for minutes. So after each silence timeout the client asks over another
 * connection whether the answer has progressed beyond what has arrived.
 *
 * @param context - shared by the client's calls
 * @param step - the step to wait for
 * @param progress - the request and what has arrived of its answer
 * @returns the value of the step
 * @throws ExchangeError when the connection is considered lost
 */
export async function waitWithSilenceCheck<T>(
  context: CallContext,
  step: Promise<T>,
  progress: AnswerProgress,
): Promise<T> {
  for (;;) {
    try {
      return await waitWithin(step, context.clock, context.silenceTimeoutMs);
    } catch (error) {
      if (!(error instanceof WaitTimeoutError)) throw error;
      // Another idle connection may be lost as well and would delay the state request.
      closeIdleConnections(context.agents);
      if (await hasUnreceivedAnswer(context, progress))
        throw new ExchangeError(true, `The connection went silent: ${error.message}`);
    }
  }
}
