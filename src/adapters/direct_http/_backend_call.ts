/**
 * One request to a backend server over Node's `http`.
 *
 * @module
 */
import { request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { isFramed } from '../http_common/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import type { BackendExchange, BackendListener, BackendRequest } from '../../ports/mod.js';
import { BackendAgent } from './_backend_agent.js';
import type { LifeOptions } from './_backend_agent.js';
import { pickRawHeaders } from './_raw_headers.js';
import type { AnswerFacts, DirectDialect } from './direct_dialect.js';

/**
 * Longest time to open a connection, in milliseconds. Within a region it takes a
 * few; a server that has lost power never answers.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Errors of a connection that its other end has closed or reset. */
const CLOSED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

const NO_HEADERS: ReadonlySet<string> = new Set();
const LENGTH_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** What a call needs. */
export interface BackendCallOptions {
  readonly agent: BackendAgent;
  readonly dialect: DirectDialect;
  readonly request: BackendRequest;
  readonly listener: BackendListener;
}

/** Sends the request and checks each part of what comes back. */
export class BackendCall implements BackendExchange {
  readonly #options: BackendCallOptions;

  readonly #request: ClientRequest;

  #response: IncomingMessage | undefined;

  #isConnected = false;

  #hasEnded = false;

  /** Whether an answer that ends with its connection ended by a reset; asked once that is known. */
  #endProbe: Promise<boolean> | undefined;

  #connectTimer: NodeJS.Timeout | undefined;

  /** @param options - the request, and who is told of its answer */
  constructor(options: BackendCallOptions) {
    this.#options = options;
    const { agent, request } = options;
    const [host, port] = request.address.split(':');
    const target: LifeOptions = {
      agent,
      host,
      port: Number(port),
      method: request.request.method,
      path: request.request.target,
      headers: this.#buildHeaders(),
      setHost: false,
      lifeId: request.lifeId,
    };
    this.#request = openRequest(target);
    this.#request.on('socket', (socket) => this.#watchSocket(socket));
    this.#request.on('response', (response) => this.#handleResponse(response));
    this.#request.on('error', (error) => this.#handleError(error));
    this.#request.on('close', () => this.#handleClose());
    this.#request.end(request.request.body);
  }

  get mayHaveLeft(): boolean {
    return this.#isConnected;
  }

  cancel(): void {
    this.#hasEnded = true;
    this.#stop();
  }

  #buildHeaders(): string[] {
    const { dialect, request } = this.#options;
    const { body, headers, method } = request.request;
    const hasBody = body.length > 0 || !['GET', 'HEAD', 'DELETE', 'OPTIONS'].includes(method);
    const length = hasBody ? ['Content-Length', String(body.length)] : [];
    const system = dialect.buildSystemHeaders(request);
    return [...headers, ...system, ...length, 'Connection', 'keep-alive'];
  }

  #watchSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.#isConnected = true;
      return;
    }
    this.#connectTimer = setTimeout(() => {
      this.#fail(BackendFailure.NotSent, `no connection within ${CONNECT_TIMEOUT_MS} ms`);
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(this.#connectTimer);
      this.#isConnected = true;
    });
  }

  #handleResponse(response: IncomingMessage): void {
    this.#response = response;
    if (this.#hasEnded) return;
    response.on('error', () => undefined);
    const { dialect, listener } = this.#options;
    const status = response.statusCode ?? 0;
    const facts = dialect.readAnswer(status, response.headers);
    if (!this.#checkFacts(facts, status)) return;
    this.#noteIdleTime(response);
    const excluded = response.headers['transfer-encoding'] ? NO_HEADERS : LENGTH_HEADERS;
    listener.onHead({
      status,
      headers: pickRawHeaders(response.rawHeaders, response.headers.connection, excluded),
      isAuthentic: facts.isAuthentic,
      isEventStream: response.headers['content-type']?.startsWith('text/event-stream') === true,
      isFramed: isFramed(response.headers),
      load: facts.load,
    });
    response.on('data', (bytes: Buffer) => {
      if (!this.#hasEnded) listener.onBody(bytes);
    });
    if (!isFramed(response.headers)) this.#watchUnframedEnd();
    response.on('end', () => this.#handleEnd());
  }

  /**
   * An answer without a length is whole when its connection was closed, and not when
   * it was reset. A reset that arrives together with the last bytes is reported as a
   * plain end by the event loop; a write tells the two apart, since it fails on a
   * connection that was reset. An empty line before a request means nothing to a
   * server, which by then reads no more anyway. The write has to come before Node
   * closes its own side, so this listener goes first.
   */
  #watchUnframedEnd(): void {
    const { socket } = this.#request;
    if (!socket) return;
    socket.prependOnceListener('end', () => {
      this.#endProbe = new Promise((resolve) => {
        socket.write('\r\n', (error) => resolve(error instanceof Error));
      });
    });
  }

  /** An answer that belongs to another request must never reach this one's caller. */
  #checkFacts(facts: AnswerFacts, status: number): boolean {
    const { requestId } = this.#options.request.request;
    if (facts.requestId !== undefined && facts.requestId !== requestId) {
      this.#fail(BackendFailure.Broken, `answer of request ${facts.requestId}`);
    } else if (facts.isMisdirected) {
      this.#fail(BackendFailure.Misdirected, 'another life answers at this address');
    } else if (facts.hasNotRun) {
      this.#decline(status);
    } else if (facts.requestId === undefined) {
      this.#fail(BackendFailure.Broken, 'answer without a request ID');
    } else if (status < 300 && !facts.isAuthentic) {
      this.#fail(BackendFailure.Broken, 'success without the mark of its server');
    } else return true;
    return false;
  }

  /** Reads the rest, so that the connection can be kept: a full server declines often. */
  #decline(status: number): void {
    const response = this.#response as IncomingMessage;
    this.#noteIdleTime(response);
    response.resume();
    this.#hasEnded = true;
    this.#options.listener.onFailure(BackendFailure.Declined, `declined with ${status}`);
  }

  #noteIdleTime(response: IncomingMessage): void {
    const hint = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))?.[1];
    const { socket } = this.#request;
    if (hint && socket) BackendAgent.setIdle(socket, Number(hint) * 1_000);
  }

  #handleEnd(): void {
    if (this.#hasEnded) return;
    if (this.#response?.complete !== true) {
      this.#fail(BackendFailure.Lost, 'answer broke off');
      return;
    }
    if (this.#endProbe) {
      this.#endProbe.then(
        (wasReset) => this.#endUnframed(wasReset),
        () => this.#endUnframed(true),
      );
      return;
    }
    this.#hasEnded = true;
    // A server that answers before it has the whole request waits for the rest of it.
    if (!this.#request.writableFinished) this.#request.destroy();
    this.#options.listener.onWhole();
  }

  #endUnframed(wasReset: boolean): void {
    if (this.#hasEnded) return;
    if (wasReset) {
      this.#fail(BackendFailure.Lost, 'answer without a length was reset');
      return;
    }
    this.#hasEnded = true;
    this.#options.listener.onWhole();
  }

  #handleError(error: NodeJS.ErrnoException): void {
    // What is wrong behind a whole answer costs the connection and not the answer.
    if (this.#response?.complete === true) return;
    this.#fail(this.#deriveFailure(error), error.message || 'connection failed');
  }

  #deriveFailure({ code }: NodeJS.ErrnoException): BackendFailure {
    if (!this.#isConnected) return BackendFailure.NotSent;
    return code !== undefined && CLOSED_CODES.has(code)
      ? BackendFailure.Lost
      : BackendFailure.Broken;
  }

  #handleClose(): void {
    clearTimeout(this.#connectTimer);
    if (this.#response?.complete === true) return;
    this.#handleError(Object.assign(new Error('connection closed'), { code: 'ECONNRESET' }));
  }

  #fail(failure: BackendFailure, reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#stop();
    this.#options.listener.onFailure(failure, reason);
  }

  #stop(): void {
    clearTimeout(this.#connectTimer);
    this.#request.destroy();
  }
}
