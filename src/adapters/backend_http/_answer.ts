/**
 * Answers of backend servers as the port describes them.
 *
 * @module
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { formatReason } from '../../domain/errors/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendAnswer } from '../../ports/mod.js';
import { isFramed } from '../http_common/mod.js';

const NO_BODY_STATUSES = new Set([204, 304]);

/** Header of a backend server that proves a refusal before anything ran. */
const RUN_OUTCOME_HEADER = 'run-outcome';

/**
 * Builds the port's answer of an HTTP answer.
 *
 * @param message - the answer, its head read
 * @param idleTimeoutMs - longest silence inside the body, in milliseconds
 * @returns the answer
 */
export function toBackendAnswer(message: IncomingMessage, idleTimeoutMs: number): BackendAnswer {
  const headers = toPlainHeaders(message.headers);
  return {
    status: message.statusCode ?? 0,
    headers,
    isFramed: isFramed(message.headers),
    streamId: headers['stream-id'],
    body: readBody(message, idleTimeoutMs),
  };
}

/**
 * @param message - an answer
 * @returns whether the backend server says that nothing has run
 */
export function hasNotRun(message: IncomingMessage): boolean {
  return message.headers[RUN_OUTCOME_HEADER] === 'not_run';
}

function toPlainHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const plain: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined) plain[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return plain;
}

/**
 * Reads a body. A connection whose far end was lost on the way gives neither
 * bytes nor an error; the idle limit turns that into a failure, so that the
 * stream can be resumed over a new connection.
 */
async function* readBody(
  message: IncomingMessage,
  idleTimeoutMs: number,
): AsyncGenerator<Uint8Array> {
  if (NO_BODY_STATUSES.has(message.statusCode ?? 0)) {
    message.resume();
    return;
  }
  message.setTimeout(idleTimeoutMs, () => {
    message.destroy(new Error(`the body was silent for ${idleTimeoutMs} ms`));
  });
  try {
    for await (const chunk of message) yield chunk as Uint8Array;
  } catch (error) {
    throw new BackendCallError(BackendCallStage.Answering, formatReason(error), { cause: error });
  }
  if (!message.complete) {
    throw new BackendCallError(BackendCallStage.Answering, 'the connection closed too early');
  }
}
