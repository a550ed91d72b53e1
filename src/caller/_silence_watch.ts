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
import { SilenceError, waitWithin } from './_wait_within.js';

const FINAL_STATES: readonly RequestState[] = [
  RequestState.Answered,
  RequestState.Refused,
  RequestState.Failed,
];

const reportSchema = z.object({ state: z.enum(RequestState), answerBytes: z.number() });

/** What is being waited for. */
export interface WatchedStep {
  readonly requestId: string;
  /** Bytes of the answer that have come. */
  readonly offset: number;
  readonly signal: AbortSignal | undefined;
}

/** Whether the owner has something that has not come here. */
async function isBehind(context: CallContext, watched: WatchedStep): Promise<boolean> {
  const path = `/v1/requests/${encodeURIComponent(watched.requestId)}`;
  try {
    const answer = await sendControlCall(context, { method: 'GET', path, signal: watched.signal });
    const { state, answerBytes } = reportSchema.parse(answer);
    return FINAL_STATES.includes(state) || answerBytes > watched.offset;
  } catch {
    watched.signal?.throwIfAborted();
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
 * @param watched - whose step it is
 * @returns the step's value
 * @throws ExchangeError when the connection has gone silent for good
 */
export async function waitWatching<T>(
  context: CallContext,
  step: Promise<T>,
  watched: WatchedStep,
): Promise<T> {
  for (;;) {
    try {
      return await waitWithin(step, context.clock, context.silenceMs);
    } catch (error) {
      if (!(error instanceof SilenceError)) throw error;
      // A kept connection may be as silent as this one and would hold the question up.
      closeIdleConnections(context.agents);
      if (await isBehind(context, watched))
        throw new ExchangeError(true, `The connection went silent: ${error.message}`);
    }
  }
}
