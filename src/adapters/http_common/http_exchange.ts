/**
 * Reads one HTTP request and sends its answer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { buildErrorBody } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { BodyBudget } from './_body_budget.js';
import { checkDeclaredLength, checkTransferCoding, readRequestBody } from './_request_body.js';
import { discardBody } from './discard_body.js';
import { buildErrorHeaders } from './error_answer.js';
import type { HttpLimits } from './http_limits.js';

/** Options of {@link HttpExchange}, set by its listener. */
export interface ExchangeOptions {
  readonly limits: HttpLimits;
  readonly budget: BodyBudget;
  /** Whether the caller waits for 100 Continue before it sends the body. */
  readonly expectsContinue: boolean;
  /** Whether the connection must be closed after the answer. */
  readonly mustClose: () => boolean;
  /** Called when a body that nobody reads goes on; must stop the input of the connection. */
  readonly onBodyExceeded: () => void;
}

/** One HTTP request and its answer. */
export class HttpExchange {
  /** Aborted when the caller disconnects before the answer is complete. */
  readonly disconnectSignal: AbortSignal;

  readonly #options: ExchangeOptions;

  #isBodyRequested = false;

  #isClosed = false;

  #reservedBytes = 0;

  #holder = '';

  /**
   * @param request - the request
   * @param response - its answer
   * @param options - limits and state of the listener
   */
  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    options: ExchangeOptions,
  ) {
    this.#options = options;
    const disconnectController = new AbortController();
    this.disconnectSignal = disconnectController.signal;
    // An 'error' event without a handler would end the process and all its requests. None is
    // known to occur, and 'close' covers everything that matters here.
    response.on('error', () => undefined);
    response.once('close', () => {
      this.#isClosed = true;
      options.budget.release(this.#holder, this.#reservedBytes);
      if (!response.writableFinished) disconnectController.abort();
    });
  }

  /** @param name - a lower-case header name. @returns its value; undefined when it is empty */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return (Array.isArray(value) ? value.join(', ') : value) || undefined;
  }

  /**
   * Reads the whole body; first sends 100 Continue to a caller that waits for it.
   *
   * @param holder - whom the body counts against until the answer is closed
   * @returns the body
   * @throws SchedulerError when the body is too long, exceeds the budget or comes in a coding that
   * is not taken off, or the caller disconnects meanwhile
   */
  async readBody(holder: string): Promise<Buffer> {
    checkTransferCoding(this.request);
    checkDeclaredLength(this.request, this.#options.limits.maxBodyBytes);
    this.#isBodyRequested = true;
    this.#holder = holder;
    if (this.#options.expectsContinue) this.response.writeContinue();
    return readRequestBody(this.request, this.#options.limits.maxBodyBytes, (bytes) => {
      // Bytes reserved after the answer was closed would never be released.
      if (this.#isClosed) return;
      this.#options.budget.acquire(holder, bytes);
      this.#reservedBytes += bytes;
    });
  }

  /**
   * Sends the head of the answer immediately, so that the caller has its request ID early.
   *
   * @param status - HTTP status code
   * @param headers - headers with lower-case names
   * @param isFramed - whether the end of the body is marked; otherwise it ends with the connection
   */
  sendHead(status: number, headers: Readonly<Record<string, string>>, isFramed = true): void {
    // A caller that got no 100 Continue may send its next request in place of the body, as
    // which it would be read; so the connection is closed.
    const isBodyOpen = this.#options.expectsContinue && !this.#isBodyRequested;
    if (!isFramed) this.response.useChunkedEncodingByDefault = false;
    if (isBodyOpen || !isFramed || this.#options.mustClose())
      this.response.setHeader('connection', 'close');
    this.response.writeHead(status, headers);
    this.response.flushHeaders();
    const { limits, onBodyExceeded: onExceeded } = this.#options;
    const maxBytes = limits.maxUnauthenticatedBodyBytes;
    discardBody(this.request, { maxBytes, mayBeSound: true, onExceeded });
  }

  /**
   * Sends a complete answer.
   *
   * @param status - HTTP status code
   * @param text - the body
   * @param headers - headers with lower-case names
   */
  sendText(status: number, text: string, headers: Readonly<Record<string, string>>): void {
    this.sendHead(status, { ...headers, 'content-length': String(Buffer.byteLength(text)) });
    this.response.end(text);
  }

  /**
   * Sends a complete answer in JSON.
   *
   * @param status - HTTP status code
   * @param value - the value to encode
   * @param headers - further headers, with lower-case names
   */
  sendJson(status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
    this.sendText(status, JSON.stringify(value), {
      ...headers,
      'content-type': 'application/json',
    });
  }

  /**
   * Sends an error answer, unless the head of an answer was already sent.
   *
   * @param error - the refusal or failure
   * @param requestId - ID of the request, used when the error has none
   */
  sendError(error: SchedulerError, requestId?: string): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.sendJson(error.status, buildErrorBody(error), buildErrorHeaders(error, requestId));
  }
}
