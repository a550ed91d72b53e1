/**
 * An HTTP listener with limits.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { BodyBudget } from './_body_budget.js';
import { ConnectionSet } from './_connection_set.js';
import { closeWithRefusal, toParserRefusal } from './_raw_answer.js';
import { toSchedulerError } from './error_answer.js';
import { HttpExchange } from './http_exchange.js';
import { DEFAULT_HTTP_LIMITS } from './http_limits.js';
import type { HttpLimits } from './http_limits.js';

/** Connections over the limit that still get an answer; those beyond are dropped. */
const OVERFLOW_CONNECTIONS = 128;

/** How often unfinished requests are checked against their time limits. */
const CHECK_INTERVAL_MS = 500;

/** How long a connection without a request stays open, in milliseconds. */
const KEEP_ALIVE_MS = 10_000;

/** After how long TCP asks whether a silent caller is still there, in milliseconds. */
const TCP_KEEP_ALIVE_MS = 15_000;

/** The listener's certificate and key, in PEM. */
export interface TlsIdentity {
  readonly certificate: string | Buffer;
  readonly key: string | Buffer;
}

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
  readonly limits: HttpLimits;
  /** Serves by https when given. */
  readonly tls?: TlsIdentity | undefined;
  /** Answers one request. What it throws is answered from the error table. */
  readonly handle: (exchange: HttpExchange) => Promise<void>;
  /** Corrects a refusal that no handler sees by what its request brought. */
  readonly correctRefusal?: (refusal: SchedulerError, request: IncomingMessage) => SchedulerError;
  /** Told of each refusal that no handler sees. */
  readonly onRefusal?: (refusal: SchedulerError) => void;
}

/** Listens, bounds what comes in, and stops without cutting an answer. */
export class HttpListener {
  readonly #options: HttpListenerOptions;

  readonly #server: Server;

  readonly #connections: ConnectionSet;

  readonly #budget: BodyBudget;

  #isDraining = false;

  #isStopping = false;

  /** @param options - limits, handler and certificate */
  constructor(options: HttpListenerOptions) {
    this.#options = options;
    this.#connections = new ConnectionSet(options.limits.maxConnections);
    this.#budget = new BodyBudget(
      options.limits.maxTotalBodyBytes ?? DEFAULT_HTTP_LIMITS.maxTotalBodyBytes,
    );
    this.#server = createBoundedServer(options);
    this.#watchServer();
  }

  /**
   * Starts listening.
   *
   * @param host - IP number
   * @param port - port; 0 for any free one
   * @returns the port
   */
  start(host: string, port: number): Promise<{ port: number }> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject);
        resolve({ port: (this.#server.address() as AddressInfo).port });
      });
    });
  }

  /**
   * Asks each caller, with its next answer, to close its connection. Called
   * some time before {@link HttpListener.stop}, it lets callers go elsewhere
   * before any idle connection has to be closed under them.
   */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Stops listening and waits for the running answers; cuts none.
   *
   * @returns when the last connection is closed
   */
  async stop(): Promise<void> {
    this.#isDraining = true;
    this.#isStopping = true;
    const { headerTimeoutMs, requestTimeoutMs } = this.#options.limits;
    // Node stops checking its own time limits when a server closes: a caller
    // that never ends its request would hold the stop for ever.
    const timers = [
      setTimeout(() => this.#connections.closeWithoutRequest(), headerTimeoutMs),
      setTimeout(() => this.#connections.closeWithoutWholeRequest(), requestTimeoutMs),
    ];
    if (this.#server.listening) {
      await new Promise<void>((resolve) => {
        this.#server.close(() => resolve());
      });
    }
    timers.forEach((timer) => clearTimeout(timer));
  }

  #watchServer(): void {
    const server = this.#server;
    server.on(this.#options.tls ? 'secureConnection' : 'connection', (socket: Duplex) =>
      this.#connections.add(socket),
    );
    server.on('request', (request, response) => this.#handle(request, response, false));
    server.on('checkContinue', (request, response) => this.#handle(request, response, true));
    server.on('checkExpectation', (request, response) => this.#handle(request, response, false));
    server.on('connect', (_request, socket) => {
      this.#refuse(socket, new SchedulerError(ErrorKind.MethodNotAllowed));
    });
    server.on('clientError', (error, socket) => this.#handleClientError(error, socket));
    server.on('drop', () => {
      this.#options.onRefusal?.(new SchedulerError(ErrorKind.TooManyConnections));
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void {
    const exchange = new HttpExchange(request, response, {
      limits: this.#options.limits,
      budget: this.#budget,
      expectsContinue,
      mustClose: () => this.#isDraining,
    });
    this.#connections.note(request.socket, response, () => this.#onAnswerClosed());
    this.#run(exchange).catch((thrown: unknown) => exchange.sendError(toSchedulerError(thrown)));
  }

  async #run(exchange: HttpExchange): Promise<void> {
    const found = this.#findRefusal(exchange.request);
    if (!found) {
      await this.#options.handle(exchange);
      return;
    }
    const refusal = this.#correct(found, exchange.request);
    exchange.response.setHeader('connection', 'close');
    this.#options.onRefusal?.(refusal);
    throw refusal;
  }

  #findRefusal(request: IncomingMessage): SchedulerError | undefined {
    if (!this.#connections.admit(request.socket)) {
      return new SchedulerError(ErrorKind.TooManyConnections);
    }
    if (request.httpVersion === '1.1' && request.headers.host === undefined) {
      return new SchedulerError(ErrorKind.MalformedRequest, {
        message: 'Cannot take the request: it has no Host header',
      });
    }
    const { expect } = request.headers;
    if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
      return new SchedulerError(ErrorKind.MalformedRequest, {
        message: 'Cannot take the request: it expects something other than 100-continue',
      });
    }
    return undefined;
  }

  #handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const running = this.#connections.listRunning(socket);
    // Behind a whole request, a refusal that says "not run" would be read as that
    // request's answer, though it may run already: close without a word instead.
    const isServing = running.some(({ headersSent, req }) => headersSent || req.complete);
    // A failed TLS handshake leaves no connection that an answer could be written to.
    const isOpen = this.#connections.has(socket) && error.code !== 'ECONNRESET';
    if (isServing || !isOpen) {
      socket.destroy();
      return;
    }
    // The refusal was sent and the caller sends on: its connection ends in a moment.
    if (socket.writableEnded) return;
    const unfinished = running.at(-1)?.req;
    const refusal = toParserRefusal(error);
    this.#refuse(socket, unfinished ? this.#correct(refusal, unfinished) : refusal);
  }

  #correct(refusal: SchedulerError, request: IncomingMessage): SchedulerError {
    return this.#options.correctRefusal?.(refusal, request) ?? refusal;
  }

  #refuse(socket: Duplex, refusal: SchedulerError): void {
    this.#options.onRefusal?.(refusal);
    closeWithRefusal(socket, refusal);
  }

  #onAnswerClosed(): void {
    if (this.#isStopping) setImmediate(() => this.#server.closeIdleConnections());
  }
}

function createBoundedServer({ limits, tls }: HttpListenerOptions): Server {
  const options: ServerOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, limits.headerTimeoutMs),
    // The listener checks it itself, to answer from the error table.
    requireHostHeader: false,
    // A caller whose connection went silent for good would hold its slot for ever.
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
    noDelay: true,
  };
  const server = tls
    ? createTlsServer({
        ...options,
        cert: tls.certificate,
        key: tls.key,
        handshakeTimeout: limits.headerTimeoutMs,
      })
    : createServer(options);
  server.maxConnections = limits.maxConnections + OVERFLOW_CONNECTIONS;
  return server;
}
