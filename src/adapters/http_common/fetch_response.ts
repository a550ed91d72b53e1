/**
 * Sends GET requests with limits on duration and response size.
 *
 * @module
 */
import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { Clock, Timer } from '../../ports/mod.js';
import { ExchangeGuard } from './exchange_guard.js';

/** The URL to read, and the limits. */
export interface FetchOptions {
  readonly url: URL;
  readonly agent: Agent;
  readonly clock: Clock;
  /** Longest time to open a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest time until the response is complete, in milliseconds. */
  readonly responseTimeoutMs: number;
  readonly maxBytes: number;
  /** Aborts the read. */
  readonly signal?: AbortSignal;
}

/** A complete response. */
export interface FetchedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Length from which a response that breaks off counts as too long for the time that it has, in bytes;
 * it takes some hundred milliseconds on a slow machine.
 */
const LONG_RESPONSE_BYTES = 1_048_576;

/** The response is longer than the reader takes; asking again would give it again. */
export class ResponseTooLongError extends Error {
  override readonly name: string = 'ResponseTooLongError';
}

/** The response broke off after much of it had arrived; it was too long for this time. */
export class ResponseCutOffError extends ResponseTooLongError {
  override readonly name = 'ResponseCutOffError';
}

/**
 * Sends a GET request and reads the complete response.
 *
 * A connection can stop delivering without being closed. A read that exceeds its timeout
 * fails and destroys its connection, so that the next read opens a new one.
 *
 * @param options - the URL to read, and the limits
 * @returns the response, whatever its status
 * @throws ResponseTooLongError when the response exceeds the limit on its size
 * @throws ResponseCutOffError when it breaks off after much of it has arrived
 * @throws Error when no complete response arrives in time
 */
export async function fetchResponse(options: FetchOptions): Promise<FetchedResponse> {
  const { url, agent, signal } = options;
  const call = request(url, { agent, headers: { accept: 'application/json' } });
  const guard = new ExchangeGuard(call, (reason) => {
    call.destroy(new Error(`Cannot read ${url.host}: ${reason}`));
  });
  const timers = [startConnectTimer(call, options), startResponseTimer(call, options)];
  const onAbort = (): void => {
    call.destroy(new Error(`Cannot read ${url.host}: the read was ended`));
  };
  signal?.addEventListener('abort', onAbort);
  if (signal?.aborted) onAbort();
  try {
    const response = await waitForResponse(call);
    const body = await readBody(response, guard, options);
    if (guard.excess !== undefined) throw new Error(`Cannot read ${url.host}: ${guard.excess}`);
    return { status: response.statusCode ?? 0, headers: response.headers, body };
  } finally {
    guard.stop();
    signal?.removeEventListener('abort', onAbort);
    timers.forEach((timer) => timer.cancel());
  }
}

function startConnectTimer(call: ClientRequest, options: FetchOptions): Timer {
  const { clock, connectTimeoutMs, url } = options;
  const timer = clock.setTimer(connectTimeoutMs, () => {
    call.destroy(new Error(`Cannot connect to ${url.host} in ${connectTimeoutMs} ms`));
  });
  call.on('socket', (socket) => {
    if (socket.connecting) socket.once('connect', () => timer.cancel());
    else timer.cancel();
  });
  return timer;
}

function startResponseTimer(call: ClientRequest, options: FetchOptions): Timer {
  const { clock, responseTimeoutMs: answerTimeoutMs, url } = options;
  return clock.setTimer(answerTimeoutMs, () => {
    call.destroy(new Error(`Cannot read ${url.host}: it has gone silent`));
  });
}

function waitForResponse(call: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    call.once('response', resolve);
    // Never removed: errors may also occur after the response head, and more than once.
    call.on('error', reject);
    call.end();
  });
}

async function readBody(
  response: IncomingMessage,
  guard: ExchangeGuard,
  { url, maxBytes }: FetchOptions,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      length += chunk.length;
      guard.recordBody(chunk.length);
      if (length > maxBytes) break;
      chunks.push(chunk);
    }
  } catch (error) {
    if (length < LONG_RESPONSE_BYTES) throw error;
    const message = `Cannot read ${url.host}: its answer broke off after ${length} bytes`;
    throw new ResponseCutOffError(message, { cause: error });
  }
  if (length <= maxBytes) return Buffer.concat(chunks);
  // The unread rest would be taken for the start of the next response.
  response.destroy();
  throw new ResponseTooLongError(`Cannot read ${url.host}: its answer is over ${maxBytes} bytes`);
}
