/**
 * Reads a platform service by its published protocol: blocking queries over
 * HTTP on a tree of keys.
 *
 * @module
 */
import { Agent, request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { PlatformReader } from '../../ports/mod.js';
import type { Clock, PlatformReadOptions, PlatformSnapshot, Timer } from '../../ports/mod.js';
import { decodeSnapshot } from './_snapshot.js';

/** Default time for a connection to come up, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Default time beyond the wait within which the whole answer has to be there, in milliseconds. */
export const ANSWER_MARGIN_MS = 2000;

/** Default for the longest whole answer, in bytes. */
export const MAX_ANSWER_BYTES = 67_108_864;

/** The service spreads its answers: it may wait longer by up to this part of the wait. */
const WAIT_SPREAD = 1 / 16;

const STATUS_OK = 200;

const STATUS_NOT_FOUND = 404;

/** Options of {@link HttpPlatformReader}. */
export interface HttpPlatformReaderOptions {
  /** Base URL of the service, such as `http://10.0.0.5:8500`. */
  readonly baseUrl: string;
  readonly clock: Clock;
  /** Default: {@link CONNECT_TIMEOUT_MS}. */
  readonly connectTimeoutMs?: number;
  /** Default: {@link ANSWER_MARGIN_MS}. */
  readonly answerMarginMs?: number;
  /** Default: {@link MAX_ANSWER_BYTES}. */
  readonly maxAnswerBytes?: number;
}

/** Reads and watches the keys of one platform service. */
export class HttpPlatformReader extends PlatformReader {
  readonly #options: Required<HttpPlatformReaderOptions>;

  readonly #agent = new Agent({ keepAlive: true });

  /** @param options - where the service is, and the limits of each read */
  constructor(options: HttpPlatformReaderOptions) {
    super();
    this.#options = {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerMarginMs: ANSWER_MARGIN_MS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      ...options,
    };
  }

  /**
   * Reads a prefix once, or waits for its next change.
   *
   * A connection can go silent for good without being closed. One would see a
   * watch that never answers, and a configuration that stays as it is on this
   * entry host alone. The service answers every watch after its wait at the
   * latest; so an answer that isn't whole a margin later is given up, and its
   * connection destroyed with it: the next read opens a new one.
   *
   * @param prefix - the keys' common start
   * @param options - from which index on, and for how long
   * @returns the whole prefix
   * @throws Error when the service can't be read, in time and within the limits
   */
  override async read(prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot> {
    const call = request(this.#buildUrl(prefix, options), {
      agent: this.#agent,
      headers: { accept: 'application/json' },
    });
    const timers = [this.#watchConnect(call), this.#watchAnswer(call, options)];
    const onAbort = (): void => {
      call.destroy(new Error('Cannot read the platform service: the read was ended'));
    };
    options.signal.addEventListener('abort', onAbort);
    if (options.signal.aborted) onAbort();
    try {
      return await this.#readAnswer(call);
    } finally {
      options.signal.removeEventListener('abort', onAbort);
      timers.forEach((timer) => timer.cancel());
    }
  }

  /** Closes the connections that wait for their next use. */
  close(): void {
    this.#agent.destroy();
  }

  async #readAnswer(call: ClientRequest): Promise<PlatformSnapshot> {
    const answer = await waitForAnswer(call);
    try {
      const { statusCode = 0 } = answer;
      if (statusCode !== STATUS_OK && statusCode !== STATUS_NOT_FOUND) {
        throw new Error(`Cannot read the platform service: it answered with status ${statusCode}`);
      }
      const body = await readBody(answer, this.#options.maxAnswerBytes);
      return decodeSnapshot(
        String(answer.headers['x-consul-index'] ?? ''),
        statusCode === STATUS_NOT_FOUND ? '[]' : body.toString('utf8'),
      );
    } catch (error) {
      // What is left of a bad answer would be taken for the next one's start.
      answer.destroy();
      throw error;
    }
  }

  #buildUrl(prefix: string, { afterIndex, waitMs }: PlatformReadOptions): URL {
    const path = prefix.split('/').map(encodeURIComponent).join('/');
    const url = new URL(`${this.#options.baseUrl.replace(/\/$/, '')}/v1/kv/${path}`);
    url.searchParams.set('recurse', 'true');
    if (afterIndex > 0) {
      url.searchParams.set('index', String(afterIndex));
      url.searchParams.set('wait', `${waitMs}ms`);
    }
    return url;
  }

  #watchConnect(call: ClientRequest): Timer {
    const { clock, connectTimeoutMs } = this.#options;
    const timer = clock.setTimer(connectTimeoutMs, () => {
      call.destroy(new Error(`Cannot connect to the platform service in ${connectTimeoutMs} ms`));
    });
    call.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => timer.cancel());
      else timer.cancel();
    });
    return timer;
  }

  #watchAnswer(call: ClientRequest, { afterIndex, waitMs }: PlatformReadOptions): Timer {
    const { clock, answerMarginMs } = this.#options;
    const longestWaitMs = afterIndex > 0 ? waitMs * (1 + WAIT_SPREAD) : 0;
    return clock.setTimer(longestWaitMs + answerMarginMs, () => {
      call.destroy(new Error('Cannot read the platform service: it has gone silent'));
    });
  }
}

function waitForAnswer(call: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    call.once('response', resolve);
    // Stays for good: an error may come after the answer's head, and again.
    call.on('error', reject);
    call.end();
  });
}

async function readBody(answer: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of answer as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > maxBytes) {
      throw new Error(`Cannot read the platform service: its answer is over ${maxBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
