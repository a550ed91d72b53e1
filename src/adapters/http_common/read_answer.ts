/**
 * One GET with limits on time and length.
 *
 * @module
 */
import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { Clock, Timer } from '../../ports/mod.js';

/** What is read, and its limits. */
export interface ReadAnswerOptions {
  readonly url: URL;
  readonly agent: Agent;
  readonly clock: Clock;
  /** Longest time for a connection to come up, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest time until the whole answer is there, in milliseconds. */
  readonly answerTimeoutMs: number;
  readonly maxBytes: number;
  /** Ends the read. */
  readonly signal?: AbortSignal;
}

/** A whole answer. */
export interface ReadAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/**
 * Reads one answer whole.
 *
 * A connection can go silent for good without being closed. An answer that isn't
 * whole in time is given up, and its connection destroyed with it: the next read
 * opens a new one.
 *
 * @param options - what to read, and the limits
 * @returns the answer, whatever its status
 * @throws Error when there is none in time and within the limits
 */
export async function readAnswer(options: ReadAnswerOptions): Promise<ReadAnswer> {
  const { url, agent, signal, maxBytes } = options;
  const call = request(url, { agent, headers: { accept: 'application/json' } });
  const timers = [watchConnect(call, options), watchAnswer(call, options)];
  const onAbort = (): void => {
    call.destroy(new Error(`Cannot read ${url.host}: the read was ended`));
  };
  signal?.addEventListener('abort', onAbort);
  if (signal?.aborted) onAbort();
  try {
    const answer = await waitForAnswer(call);
    const body = await readBody(answer, url, maxBytes);
    return { status: answer.statusCode ?? 0, headers: answer.headers, body };
  } finally {
    signal?.removeEventListener('abort', onAbort);
    timers.forEach((timer) => timer.cancel());
  }
}

function watchConnect(call: ClientRequest, options: ReadAnswerOptions): Timer {
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

function watchAnswer(call: ClientRequest, options: ReadAnswerOptions): Timer {
  const { clock, answerTimeoutMs, url } = options;
  return clock.setTimer(answerTimeoutMs, () => {
    call.destroy(new Error(`Cannot read ${url.host}: it has gone silent`));
  });
}

function waitForAnswer(call: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    call.once('response', resolve);
    // Stays for good: an error may come after the answer's head, and again.
    call.on('error', reject);
    call.end();
  });
}

async function readBody(answer: IncomingMessage, url: URL, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of answer as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) {
      // What is left of it would be taken for the next answer's start.
      answer.destroy();
      throw new Error(`Cannot read ${url.host}: its answer is over ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
