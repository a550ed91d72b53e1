/**
 * Sends answers to callers with backpressure, and reports answers that break off.
 *
 * @module
 */
import type { CallerAnswer } from '../../application/views/mod.js';
import { buildErrorBody, ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { pickEndToEndHeaders } from '../http_common/mod.js';
import type { HttpExchange } from '../http_common/mod.js';
import type { CallerExchange } from './_caller_exchange.js';
import { SseEventBuffer } from './_sse_event_buffer.js';

/**
 * The length of an answer is not forwarded, since a resumed answer can be shorter than the
 * length in its head: the caller would wait for bytes that never arrive, or read the first
 * bytes of the next answer in their place. Chunked encoding frames the answer instead.
 */
const LENGTH_HEADERS: ReadonlySet<string> = new Set(['content-length']);
const NO_HEADERS: ReadonlySet<string> = new Set();

/**
 * Sends the head of an answer, then its body no faster than the caller reads it.
 *
 * @param exchange - the request
 * @param answer - its answer
 * @throws SchedulerError when the answer breaks off, after the caller was notified
 */
export async function sendAnswer(exchange: CallerExchange, answer: CallerAnswer): Promise<void> {
  const { http } = exchange;
  const isHead = http.request.method === 'HEAD';
  const excluded = isHead ? NO_HEADERS : LENGTH_HEADERS;
  const headers = pickEndToEndHeaders(answer.headers, excluded);
  http.sendHead(
    answer.status,
    { ...headers, 'request-id': answer.requestId },
    answer.isFramed || isHead,
  );
  const eventBuffer = isUncompressedEventStream(answer) ? new SseEventBuffer() : undefined;
  try {
    await sendBody(exchange, answer.body, eventBuffer);
  } catch (thrown) {
    const error = toAnswerError(thrown);
    if (eventBuffer) endWithErrorEvent(http, error);
    else closeIncompleteAnswer(http, answer.isFramed);
    throw error;
  }
}

/** In a compressed stream, events can't be told apart and no error event can be appended. */
function isUncompressedEventStream({ headers }: CallerAnswer): boolean {
  const isEventStream = headers['content-type']?.startsWith('text/event-stream') ?? false;
  return isEventStream && headers['content-encoding'] === undefined;
}

async function sendBody(
  exchange: CallerExchange,
  body: AsyncIterable<Uint8Array>,
  eventBuffer: SseEventBuffer | undefined,
): Promise<void> {
  const { response } = exchange.http;
  const iterator = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const next = await waitWhileConnected(exchange, iterator.next());
      if (next.done) break;
      const bytes = eventBuffer ? eventBuffer.push(next.value) : next.value;
      if (bytes.length > 0 && !response.write(bytes)) await waitForDrain(exchange);
    }
  } catch (error) {
    // Not awaited: a generator that waits for its next chunk returns only after that chunk.
    iterator.return?.().catch(() => undefined);
    throw error;
  }
  response.end(eventBuffer?.flush());
}

/** Waits for a step of the answer; rejects as soon as the caller disconnects. */
function waitWhileConnected<Value>({ http }: CallerExchange, step: Promise<Value>): Promise<Value> {
  return new Promise((resolve, reject) => {
    const onDisconnect = (): void => reject(createDisconnectError());
    if (http.disconnectSignal.aborted) onDisconnect();
    http.disconnectSignal.addEventListener('abort', onDisconnect, { once: true });
    step
      .finally(() => http.disconnectSignal.removeEventListener('abort', onDisconnect))
      .then(resolve, reject);
  });
}

/**
 * Waits until the caller has read what was written. Without the timeout, a caller that
 * stops reading without closing would occupy its share of the answer buffers, and its
 * connection, forever.
 */
async function waitForDrain(exchange: CallerExchange): Promise<void> {
  const { http, clock, answerStallTimeoutMs } = exchange;
  const timer = clock.setTimer(answerStallTimeoutMs, () => http.request.socket.destroy());
  const drained = new Promise<void>((resolve) => {
    http.response.once('drain', resolve);
  });
  try {
    await waitWhileConnected(exchange, drained);
  } finally {
    timer.cancel();
  }
}

/** The head was already sent, so the request ran, whatever interrupted its answer. */
function toAnswerError(thrown: unknown): SchedulerError {
  if (thrown instanceof SchedulerError) return thrown;
  return new SchedulerError(ErrorKind.AnswerCut, { cause: thrown });
}

/** Ends an event stream with an error event, so that the caller's parser sees the failure. */
function endWithErrorEvent(http: HttpExchange, error: SchedulerError): void {
  http.response.end(`data: ${JSON.stringify(buildErrorBody(error))}\n\n`);
}

/**
 * Closes the connection of an answer that broke off. If the response ended normally, its
 * first part would look like a complete answer. In HTTP/1.1 the missing last chunk shows
 * that the answer is incomplete; an answer without chunks, as all of HTTP/1.0, shows it only
 * by a reset.
 */
function closeIncompleteAnswer(http: HttpExchange, isFramed: boolean): void {
  const { socket, httpVersion } = http.request;
  const isMarked = isFramed && httpVersion !== '1.0';
  if (!isMarked && !('encrypted' in socket)) socket.resetAndDestroy();
  else socket.destroy();
}

function createDisconnectError(): SchedulerError {
  return new SchedulerError(ErrorKind.CancelledAfterDispatch, {
    message: 'Cannot send the answer: the caller disconnected',
  });
}
