/**
 * Connections that have gone silent.
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

/** What is being waited for. */
export interface AnswerProgress {
  readonly requestId: string;
  /** Bytes of the answer that have come. */
  readonly offset: number;
  readonly signal: AbortSignal | undefined;
}

/** Whether the owner has something that has not come here. */
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
    // Nobody knows the request: reading on elsewhere is all that is left to try.
    return true;
  }
}

/**
 * Waits for the next step of an exchange. A connection whose far end has
 * forgotten it gives neither bytes nor an error, and the caller would wait for
 * good; a queue may be as silent for minutes. So at each silence the caller
 * asks, over another connection, whether there is anything that it lacks.
 *
 * @param context - shared by the client's calls
 * @param step - what to wait for
 * @param progress - whose step it is
 * @returns the step's value
 * @throws ExchangeError when the connection has gone silent for good
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
      // A kept connection may be as silent as this one and would hold the question up.
      closeIdleConnections(context.agents);
      if (await hasUnreceivedAnswer(context, progress))
        throw new ExchangeError(true, `The connection went silent: ${error.message}`);
    }
  }
}
