/**
 * Reads a platform service by its published protocol: blocking queries over
 * HTTP on a tree of keys.
 *
 * @module
 */
import { Agent } from 'node:http';
import { formatReason } from '../../domain/errors/mod.js';
import { PlatformReader } from '../../ports/mod.js';
import type { Clock, PlatformReadOptions, PlatformSnapshot } from '../../ports/mod.js';
import { readAnswer } from '../http_common/mod.js';
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
    const { clock, connectTimeoutMs, answerMarginMs, maxAnswerBytes } = this.#options;
    const { afterIndex, waitMs, signal } = options;
    const longestWaitMs = afterIndex > 0 ? waitMs * (1 + WAIT_SPREAD) : 0;
    const answer = readAnswer({
      url: this.#buildUrl(prefix, options),
      agent: this.#agent,
      clock,
      connectTimeoutMs,
      answerTimeoutMs: longestWaitMs + answerMarginMs,
      maxBytes: maxAnswerBytes,
      signal,
    });
    const { status, headers, body } = await answer.catch((error: unknown) => {
      throw new Error(`Cannot read the platform service: ${formatReason(error)}`, { cause: error });
    });
    if (status !== STATUS_OK && status !== STATUS_NOT_FOUND) {
      throw new Error(`Cannot read the platform service: it answered with status ${status}`);
    }
    return decodeSnapshot(
      String(headers['x-consul-index'] ?? ''),
      status === STATUS_NOT_FOUND ? '[]' : body.toString('utf8'),
    );
  }

  /** Closes the connections that wait for their next use. */
  close(): void {
    this.#agent.destroy();
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
}
