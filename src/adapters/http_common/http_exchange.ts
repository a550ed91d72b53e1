/**
 * One request and its answer.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { buildErrorBody } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { BodyBudget } from './_body_budget.js';
import { checkAnnouncedLength, drainRequestBody, readRequestBody } from './_request_body.js';
import { buildErrorHeaders } from './error_answer.js';
import type { HttpLimits } from './http_limits.js';

/** What an exchange needs of its listener. */
export interface ExchangeOptions {
  readonly limits: HttpLimits;
  readonly budget: BodyBudget;
  /** Whether the caller waits for a 100 before it sends the body. */
  readonly expectsContinue: boolean;
  /** Whether the connection is to be closed after the answer. */
  readonly mustClose: () => boolean;
}

/** One request and its answer. */
export class HttpExchange {
  /** Aborted when the caller's connection is gone before the whole answer was given. */
  readonly callerGone: AbortSignal;

  readonly #options: ExchangeOptions;

  #isBodyWanted = false;

  #isClosed = false;

  #heldBytes = 0;

  #holder = '';

  /**
   * @param request - the request
   * @param response - its answer
   * @param options - what it needs of its listener
   */
  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    options: ExchangeOptions,
  ) {
    this.#options = options;
    const gone = new AbortController();
    this.callerGone = gone.signal;
    // An 'error' event without a handler ends the process, with everybody's
    // requests. No way to one is known; 'close' tells all that matters here.
    response.on('error', () => undefined);
    response.once('close', () => {
      this.#isClosed = true;
      options.budget.release(this.#holder, this.#heldBytes);
      if (!response.writableFinished) gone.abort();
    });
  }

  /** @param name - a lower-case header name. @returns its value; empty counts as none */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return (Array.isArray(value) ? value.join(', ') : value) || undefined;
  }

  /**
   * Reads the whole body, after telling a caller that waits for a 100 to send it.
   *
   * @param holder - on whose account the body is held until the answer is closed
   * @returns the body
   * @throws SchedulerError when it is too long or there is no room for it, or the caller
   * goes midway
   */
  async readBody(holder: string): Promise<Buffer> {
    checkAnnouncedLength(this.request, this.#options.limits.maxBodyBytes);
    this.#isBodyWanted = true;
    this.#holder = holder;
    if (this.#options.expectsContinue) this.response.writeContinue();
    return readRequestBody(this.request, this.#options.limits.maxBodyBytes, (bytes) => {
      // What came in after the answer was closed would never be given back.
      if (this.#isClosed) return;
      this.#options.budget.acquire(holder, bytes);
      this.#heldBytes += bytes;
    });
  }

  /**
   * Sends the answer's head at once, so that the caller has its request ID early.
   *
   * @param status - HTTP status code
   * @param headers - headers with lower-case names
   */
  sendHead(status: number, headers: Readonly<Record<string, string>>): void {
    // A caller that was never told to send its body may send the next request
    // in its place, which would then be read as the body: close instead.
    const isBodyOpen = this.#options.expectsContinue && !this.#isBodyWanted;
    if (isBodyOpen || this.#options.mustClose()) this.response.setHeader('connection', 'close');
    this.response.writeHead(status, headers);
    this.response.flushHeaders();
    drainRequestBody(this.request, this.#options.limits.maxUnauthenticatedBodyBytes);
  }

  /**
   * Sends a whole answer.
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
   * Sends a whole answer.
   *
   * @param status - HTTP status code
   * @param value - the body, before JSON
   * @param headers - more headers, with lower-case names
   */
  sendJson(status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
    this.sendText(status, JSON.stringify(value), {
      ...headers,
      'content-type': 'application/json',
    });
  }

  /**
   * Sends an error, unless the head of an answer has gone out.
   *
   * @param error - the refusal or failure
   * @param requestId - the request's ID, where the error itself has none
   */
  sendError(error: SchedulerError, requestId?: string): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.sendJson(error.status, buildErrorBody(error), buildErrorHeaders(error, requestId));
  }
}
