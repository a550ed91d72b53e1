/**
 * Converts HTTP responses of backend servers to answers of the client port.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { formatReason } from '../../domain/errors/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendAnswer } from '../../ports/mod.js';
import type { ReceivedHead } from './_exchange.js';
import { ConnectionEnd, isAnswerDecoded, isFinalStatus, isFramed } from '../http_common/mod.js';

/** Response header by which a backend server states that it did not run the call. */
const RUN_OUTCOME_HEADER = 'run-outcome';

/**
 * Converts an HTTP response to an answer of the port.
 *
 * @param received - the response
 * @param method - method of the request
 * @param idleTimeoutMs - longest pause within the body, in milliseconds
 * @returns the answer
 * @throws BackendCallError when its status is none of a final answer, or its body comes in a coding
 *   that is not taken off
 */
export function toBackendAnswer(
  received: ReceivedHead,
  method: string,
  idleTimeoutMs: number,
): BackendAnswer {
  const { message } = received;
  const headers = joinHeaders(message.headers);
  const status = message.statusCode ?? 0;
  if (!isFinalStatus(status)) {
    message.destroy();
    throw new BackendCallError(BackendCallStage.Answering, `the answer has status ${status}`);
  }
  const framing = { method, status, headers: message.headers };
  if (!isAnswerDecoded(framing)) {
    message.destroy();
    throw new BackendCallError(
      BackendCallStage.Answering,
      'the answer has a transfer coding other than chunked',
    );
  }
  const isMarked = isFramed(framing);
  const connectionEnd = isMarked ? undefined : new ConnectionEnd(message.socket);
  return {
    status,
    headers,
    isFramed: isMarked,
    streamId: headers['stream-id'],
    body: readBody(received, idleTimeoutMs, connectionEnd),
  };
}

/**
 * Discards a response so that its connection can be reused, within a bound.
 *
 * @param received - the response
 */
export function discardAnswer({ message, guard }: ReceivedHead): void {
  message.on('error', () => undefined);
  message.once('end', () => guard.stop());
  message.resume();
  guard.startDiscarding();
}

/**
 * @param message - a response
 * @returns whether the backend server states that it did not run the call
 */
export function hasNotRun(message: IncomingMessage): boolean {
  return message.headers[RUN_OUTCOME_HEADER] === 'not_run';
}

function joinHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const joined: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined) joined[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return joined;
}

/**
 * Reads a body. A connection whose peer has become unreachable yields neither bytes nor an
 * error; the idle timeout turns that into a failure, so that the stream can be resumed over
 * a new connection.
 */
async function* readBody(
  { message, guard }: ReceivedHead,
  idleTimeoutMs: number,
  connectionEnd: ConnectionEnd | undefined,
): AsyncGenerator<Uint8Array> {
  message.setTimeout(idleTimeoutMs, () => {
    message.destroy(new Error(`no byte of the body arrived for ${idleTimeoutMs} ms`));
  });
  try {
    for await (const chunk of message as AsyncIterable<Uint8Array>) {
      guard.recordBody(chunk.length);
      if (guard.excess !== undefined) throw new Error(guard.excess);
      yield chunk;
    }
    guard.stop();
  } catch (error) {
    throw new BackendCallError(BackendCallStage.Answering, formatReason(error), { cause: error });
  }
  if (guard.excess !== undefined)
    throw new BackendCallError(BackendCallStage.Answering, guard.excess);
  const wasReset = (await connectionEnd?.wasReset) === true;
  if (!message.complete || wasReset) {
    throw new BackendCallError(
      BackendCallStage.Answering,
      'the connection closed before the end of the body',
    );
  }
}
