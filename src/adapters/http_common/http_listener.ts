/**
 * An HTTP listener that limits connections, sizes and durations.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as TcpServer } from 'node:net';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { EventLog } from '../../ports/mod.js';
import { ByteBudget } from '../../domain/memory/mod.js';
import { BodyBudget } from './_body_budget.js';
import { ConnectionSet } from './_connection_set.js';
import { createLimitedServer } from './_limited_server.js';
import type { TlsIdentity } from './_limited_server.js';
import { closeWithRefusal, toParserRefusal } from './_raw_answer.js';
import { CloseCause } from './close_cause.js';
import type { CloseReport } from './close_cause.js';
import { ConnectionBound } from './connection_bound.js';
import { toSchedulerError } from './error_answer.js';
import { Admission, HeldRequests } from './held_requests.js';
import { HttpExchange } from './http_exchange.js';
import { DEFAULT_HTTP_LIMITS } from './http_limits.js';
import type { HttpLimits } from './http_limits.js';
import { InputGate } from './input_gate.js';
import { RequestOrder } from './request_order.js';
import { startListening } from './start_listening.js';

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
  readonly limits: HttpLimits;
  /** Receives a line while the address to listen on is not available. */
  readonly log: EventLog;
  /** Certificate and key for HTTPS; without them the listener serves plain HTTP. */
  readonly tls?: TlsIdentity | undefined;
  /** Handles one request. A thrown error is answered as the error table defines it. */
  readonly handle: (exchange: HttpExchange) => Promise<void>;
  /** Corrects a refusal that is made without the handler, given its request. */
  readonly correctRefusal?: (refusal: SchedulerError, request: IncomingMessage) => SchedulerError;
  /** Reports each refusal that is made without the handler. */
  readonly onRefusal?: (refusal: SchedulerError) => void;
  /** Spreads the input of connections over turns. Default: one of its own. */
  readonly gate?: InputGate | undefined;
  /** Counts requests until their answers are closed. Default: a budget of its own. */
  readonly requests?: ByteBudget | undefined;
  /**
   * Whether each request is answered at once, in the order of their arrival. Connections then make
   * room for new ones, since only a client that reads nothing has a request under way for long.
   */
  readonly answersAtOnce?: boolean;
  /** Called when a connection is closed for a limit. */
  readonly onClosed?: CloseReport | undefined;
}

/** Accepts requests within limits, and completes in-flight answers when it stops. */
export class HttpListener {
  readonly #options: HttpListenerOptions;

  readonly #server: Server;

  readonly #connections: ConnectionSet;

  readonly #budget: BodyBudget;

  readonly #bound: ConnectionBound;

  readonly #requests: HeldRequests;

  readonly #gate: InputGate;

  readonly #order = new RequestOrder();

  #isDraining = false;

  #isStopping = false;

  /** @param options - limits, handler and certificate */
  constructor(options: HttpListenerOptions) {
    this.#options = options;
    const limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
    const { maxConnections } = limits;
    // Beyond the limit, requests are refused unless connections make room.
    this.#connections = new ConnectionSet(options.answersAtOnce ? Infinity : maxConnections);
    this.#bound = new ConnectionBound(options.answersAtOnce ? maxConnections : Infinity, {
      closesBusy: true,
      onClosed: () => options.onClosed?.(CloseCause.Connections),
    });
    this.#budget = new BodyBudget(limits.maxTotalBodyBytes);
    this.#requests = new HeldRequests(
      options.requests ?? new ByteBudget(limits.maxTotalRequestBytes),
    );
    this.#gate = options.gate ?? new InputGate();
    this.#server = createLimitedServer(options);
    this.#addServerListeners();
  }

  /**
   * Starts listening, once the address is available.
   *
   * @param host - IP address to listen on
   * @param port - port to listen on; 0 selects a free port
   * @returns the port in use
   */
  async start(host: string, port: number): Promise<{ port: number }> {
    return { port: await startListening(this.#server, { host, port }, this.#options.log) };
  }

  /**
   * Closes each connection after its next answer. Called some time before
   * {@link HttpListener.stop}, so that callers can move to other entry hosts before their
   * idle connections are closed.
   */
  drain(): void {
    this.#isDraining = true;
  }

  /**
   * Stops listening and waits until in-flight answers are complete.
   *
   * @returns a promise that resolves once the last connection is closed
   */
  async stop(): Promise<void> {
    this.#isDraining = true;
    this.#isStopping = true;
    const { headerTimeoutMs, requestTimeoutMs } = this.#options.limits;
    // A caller that never completes its request would block the stop.
    const timers = [
      setTimeout(() => this.#connections.closeIdle(), headerTimeoutMs),
      setTimeout(() => this.#connections.closeWithoutCompleteRequest(), requestTimeoutMs),
    ];
    if (this.#server.listening) {
      await new Promise<void>((resolve) => {
        // An HTTP server would take connections for idle whose answers wait for their callers.
        TcpServer.prototype.close.call(this.#server, () => resolve());
        this.#connections.closeQuiet();
      });
    }
    timers.forEach((timer) => clearTimeout(timer));
  }

  #addServerListeners(): void {
    const server = this.#server;
    server.on(this.#options.tls ? 'secureConnection' : 'connection', (socket: Duplex) => {
      this.#connections.add(socket);
      this.#order.addConnection(socket);
      this.#bound.add(socket as Socket);
      this.#gate.add(socket as Socket, () => this.#options.onClosed?.(CloseCause.Input));
    });
    server.on('request', (request, response) => this.#handle(request, response, false));
    server.on('checkContinue', (request, response) => this.#handle(request, response, true));
    server.on('checkExpectation', (request, response) => this.#handle(request, response, false));
    server.on('connect', (_request, socket) => {
      this.#gate.remove(socket as Socket);
      this.#refuse(socket, new SchedulerError(ErrorKind.MethodNotAllowed));
    });
    server.on('clientError', (error, socket) => this.#handleClientError(error, socket));
    server.on('drop', () => {
      this.#options.onRefusal?.(new SchedulerError(ErrorKind.TooManyConnections));
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void {
    this.#gate.recordRequest();
    const { socket } = request;
    if (socket.destroyed) return;
    const isOrdered = this.#order.addRequest(socket, response);
    const admission = this.#admit(request, response, isOrdered);
    if (admission === Admission.Closed) {
      this.#options.onClosed?.(CloseCause.Requests);
      socket.destroy();
      return;
    }
    const exchange = new HttpExchange(request, response, {
      limits: this.#options.limits,
      budget: this.#budget,
      expectsContinue,
      mustClose: () => this.#isDraining && this.#order.isLast(socket, response),
      onBodyExceeded: () => this.#stopInput(socket),
    });
    this.#connections.trackAnswer(socket, response, () => this.#handleAnswerClosed(socket));
    if (admission === Admission.Refused)
      exchange.sendError(new SchedulerError(ErrorKind.TooManyConnections));
    else if (this.#options.answersAtOnce)
      this.#order.run(socket, response, () => this.#start(exchange));
    // A request that waited for its turn unread would run into Node's own timeout.
    else this.#start(exchange);
  }

  #admit(request: IncomingMessage, response: ServerResponse, isOrdered: boolean): Admission {
    const isFirst = this.#bound.beginRequest(request);
    if (!isOrdered) return this.#requests.admitRefusal(response);
    // What connections bound needs no room that others could take.
    if (isFirst && this.#options.answersAtOnce) return Admission.Accepted;
    return this.#requests.admit(request, response, isFirst);
  }

  #stopInput(socket: Socket): void {
    this.#gate.block(socket);
    this.#options.onClosed?.(CloseCause.RefusedBody);
  }

  #start(exchange: HttpExchange): void {
    this.#run(exchange).catch((thrown: unknown) => exchange.sendError(toSchedulerError(thrown)));
  }

  async #run(exchange: HttpExchange): Promise<void> {
    const original = this.#findRefusal(exchange.request);
    if (!original) {
      await this.#options.handle(exchange);
      return;
    }
    const refusal = this.#correctRefusal(original, exchange.request);
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
        message: 'Cannot accept the request: it has no Host header',
      });
    }
    const { expect } = request.headers;
    if (expect !== undefined && expect.toLowerCase() !== '100-continue') {
      return new SchedulerError(ErrorKind.MalformedRequest, {
        message: 'Cannot accept the request: its Expect header is not 100-continue',
      });
    }
    return undefined;
  }

  #handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const openAnswers = this.#connections.listOpenAnswers(socket);
    // After a complete request, a refusal with "not run" would be read as the answer to that
    // request, although it may be running: the connection is closed without an answer.
    const hasCompleteRequest = openAnswers.some(
      ({ headersSent, req }) => headersSent || req.complete,
    );
    // After a failed TLS handshake there is no connection to write an answer to.
    const isOpen = this.#connections.has(socket) && error.code !== 'ECONNRESET';
    if (hasCompleteRequest || !isOpen) {
      socket.destroy();
      return;
    }
    // The refusal was already sent and the caller keeps sending: the connection closes soon.
    if (socket.writableEnded) return;
    const unfinishedRequest = openAnswers.at(-1)?.req;
    const refusal = toParserRefusal(error);
    this.#refuse(
      socket,
      unfinishedRequest ? this.#correctRefusal(refusal, unfinishedRequest) : refusal,
    );
  }

  #correctRefusal(refusal: SchedulerError, request: IncomingMessage): SchedulerError {
    return this.#options.correctRefusal?.(refusal, request) ?? refusal;
  }

  #refuse(socket: Duplex, refusal: SchedulerError): void {
    this.#options.onRefusal?.(refusal);
    closeWithRefusal(socket, refusal);
  }

  #handleAnswerClosed(socket: Socket): void {
    this.#bound.endRequest(socket);
    if (this.#isStopping) setImmediate(() => this.#connections.closeQuiet());
  }
}
