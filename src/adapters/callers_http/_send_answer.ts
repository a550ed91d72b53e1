/**
 * Answers on their way to the caller.
 *
 * @module
 */
import type { CallerAnswer } from '../../application/views/mod.js';
import { buildErrorBody, ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { pickEndToEndHeaders } from '../http_common/mod.js';
import type { HttpExchange } from '../http_common/mod.js';
import type { CallerExchange } from './_caller_exchange.js';
import { SseTail } from './_sse_tail.js';

/**
 * An answer's length is not passed on, since a resumed answer is shorter than
 * the length that its head names: the caller would wait for bytes that never
 * come, or take the next answer's first bytes for them. Chunks frame it instead.
 */
const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length']);
const NOTHING_LEFT_OUT: ReadonlySet<string> = new Set();

/**
 * Sends an answer's head, then its body no faster than the caller takes it.
 *
 * @param exchange - the request
 * @param answer - its answer
 * @throws SchedulerError when the answer breaks off; the caller has been told by then
 */
export async function sendAnswer(exchange: CallerExchange, answer: CallerAnswer): Promise<void> {
  const { http } = exchange;
  const isHead = http.request.method === 'HEAD';
  const leftOut = isHead ? NOTHING_LEFT_OUT : CONTENT_LENGTH;
  http.sendHead(answer.status, {
    ...pickEndToEndHeaders(answer.headers, leftOut),
    'request-id': answer.requestId,
  });
  const tail = isReadableEventStream(answer) ? new SseTail() : undefined;
  try {
    await sendBody(exchange, answer.body, tail);
  } catch (thrown) {
    const error = toCutAnswer(thrown);
    if (tail) closeWithErrorEvent(http, error);
    else closeCutAnswer(http);
    throw error;
  }
}

/** In a compressed stream no event could be found, nor one be added. */
function isReadableEventStream({ headers }: CallerAnswer): boolean {
  const isEventStream = headers['content-type']?.startsWith('text/event-stream') ?? false;
  return isEventStream && headers['content-encoding'] === undefined;
}

async function sendBody(
  exchange: CallerExchange,
  body: AsyncIterable<Uint8Array>,
  tail: SseTail | undefined,
): Promise<void> {
  const { response } = exchange.http;
  const iterator = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const next = await waitWhileCallerStays(exchange, iterator.next());
      if (next.done) break;
      const bytes = tail ? tail.take(next.value) : next.value;
      if (bytes.length > 0 && !response.write(bytes)) await waitForDrain(exchange);
    }
  } catch (error) {
    // Not awaited: a generator that waits for its next piece ends only after it.
    iterator.return?.().catch(() => undefined);
    throw error;
  }
  response.end(tail?.takeRest());
}

/** Waits for a step of the answer, but no longer than the caller is there. */
function waitWhileCallerStays<Value>(
  { http }: CallerExchange,
  step: Promise<Value>,
): Promise<Value> {
  return new Promise((resolve, reject) => {
    const onGone = (): void => reject(refuseGoneCaller());
    if (http.callerGone.aborted) onGone();
    http.callerGone.addEventListener('abort', onGone, { once: true });
    step.finally(() => http.callerGone.removeEventListener('abort', onGone)).then(resolve, reject);
  });
}

/**
 * Waits until the caller has taken what was written. A caller that stops
 * reading without closing would otherwise hold its part of the kept answers,
 * and its connection, for ever.
 */
async function waitForDrain(exchange: CallerExchange): Promise<void> {
  const { http, clock, answerStallTimeoutMs } = exchange;
  const timer = clock.setTimer(answerStallTimeoutMs, () => http.request.socket.destroy());
  const drained = new Promise<void>((resolve) => {
    http.response.once('drain', resolve);
  });
  try {
    await waitWhileCallerStays(exchange, drained);
  } finally {
    timer.cancel();
  }
}

/** The head is out, so the request ran, whatever broke its answer off. */
function toCutAnswer(thrown: unknown): SchedulerError {
  if (thrown instanceof SchedulerError) return thrown;
  return new SchedulerError(ErrorKind.AnswerCut, { cause: thrown });
}

/** Tells the reader of an event stream, in its own form, that the stream broke off. */
function closeWithErrorEvent(http: HttpExchange, error: SchedulerError): void {
  http.response.end(`data: ${JSON.stringify(buildErrorBody(error))}\n\n`);
}

/**
 * Closes the connection of an answer that broke off. Ended in the ordinary way,
 * the first half would look like a whole answer. A missing last chunk shows the
 * cut; an HTTP/1.0 caller knows no chunks and sees it only by a reset.
 */
function closeCutAnswer(http: HttpExchange): void {
  const { socket, httpVersion } = http.request;
  if (httpVersion === '1.0' && !('encrypted' in socket)) socket.resetAndDestroy();
  else socket.destroy();
}

function refuseGoneCaller(): SchedulerError {
  return new SchedulerError(ErrorKind.CancelledAfterDispatch, {
    message: 'Cannot send the answer: the caller is gone',
  });
}
