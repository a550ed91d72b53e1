/**
 * Implements the `PlatformReader` port with blocking queries over HTTP, the protocol that a
 * platform service publishes for its key-value store.
 *
 * @module
 */
import { Agent } from 'node:http';
import { formatReason } from '../../domain/errors/mod.js';
import { PlatformReader } from '../../ports/mod.js';
import type { Clock, PlatformReadOptions, PlatformSnapshot } from '../../ports/mod.js';
import { fetchResponse } from '../http_common/mod.js';
import { decodeSnapshot } from './_snapshot.js';

/** Default connect timeout in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Default time, beyond the wait of a watch, to receive the whole response, in milliseconds. */
export const RESPONSE_MARGIN_MS = 2000;

/** Default maximum size of a response, in bytes. */
export const MAX_RESPONSE_BYTES = 67_108_864;

/** Maximum jitter that the service adds to the wait of a watch, as a fraction of that wait. */
const MAX_WAIT_JITTER_FRACTION = 1 / 16;

const STATUS_OK = 200;

const STATUS_NOT_FOUND = 404;

/** Options of {@link HttpPlatformReader}. */
export interface HttpPlatformReaderOptions {
  /** Base URL of the service, such as `http://10.0.0.5:8500`. */
  readonly baseUrl: string;
  /** Clock for the timeouts. */
  readonly clock: Clock;
  /** Connect timeout in milliseconds. Default: {@link CONNECT_TIMEOUT_MS}. */
  readonly connectTimeoutMs?: number;
  /** Time in ms, beyond the wait, to receive the response. Default: {@link RESPONSE_MARGIN_MS}. */
  readonly responseMarginMs?: number;
  /** Maximum size of a response in bytes. Default: {@link MAX_RESPONSE_BYTES}. */
  readonly maxResponseBytes?: number;
}

/** Reads and watches the key-value pairs of one platform service. */
export class HttpPlatformReader extends PlatformReader {
  readonly #options: Required<HttpPlatformReaderOptions>;

  readonly #agent = new Agent({ keepAlive: true });

  /** @param options - base URL of the service and the limits of each read */
  constructor(options: HttpPlatformReaderOptions) {
    super();
    this.#options = {
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      responseMarginMs: RESPONSE_MARGIN_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      ...options,
    };
  }

  /**
   * Reads a prefix immediately, or waits for its next change.
   *
   * A connection can stop carrying packets without being closed. A watch on it would never
   * return, and this entry host alone would keep an outdated configuration. The service answers
   * each watch at the latest when its wait ends, so a response that is incomplete a margin later
   * is aborted and its connection destroyed; the next read opens a new connection.
   *
   * @param prefix - common prefix of the keys
   * @param options - the index to wait for a change beyond, the longest wait and the abort signal
   * @returns all entries below the prefix
   * @throws Error when the service can't be read within the time and size limits
   */
  override async read(prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot> {
    const { clock, connectTimeoutMs, responseMarginMs: marginMs, maxResponseBytes } = this.#options;
    const { afterIndex, waitMs, signal } = options;
    const maxWaitMs = afterIndex > 0 ? waitMs * (1 + MAX_WAIT_JITTER_FRACTION) : 0;
    const response = fetchResponse({
      url: this.#buildUrl(prefix, options),
      agent: this.#agent,
      clock,
      connectTimeoutMs,
      responseTimeoutMs: maxWaitMs + marginMs,
      maxBytes: maxResponseBytes,
      signal,
    });
    const { status, headers, body } = await response.catch((error: unknown) => {
      throw new Error(`Cannot read the platform service: ${formatReason(error)}`, { cause: error });
    });
    if (status !== STATUS_OK && status !== STATUS_NOT_FOUND) {
      throw new Error(`Cannot read the platform service: it responded with status ${status}`);
    }
    return decodeSnapshot(
      String(headers['x-consul-index'] ?? ''),
      status === STATUS_NOT_FOUND ? '[]' : body.toString('utf8'),
    );
  }

  /** Closes the idle keep-alive connections and those in use. */
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
