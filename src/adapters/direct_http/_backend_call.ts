/**
 * Sends one request to a backend server over Node's `http`.
 *
 * @module
 */
import { request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { ConnectionEnd, isFramed } from '../http_common/mod.js';
import { BackendFailure, RateLimitKind } from '../../ports/mod.js';
import type { BackendExchange, BackendListener, BackendRequest } from '../../ports/mod.js';
import { BackendAgent } from './_backend_agent.js';
import type { IncarnationOptions } from './_backend_agent.js';
import { FramingGuard } from './_framing_guard.js';
import { pickRawHeaders } from './_raw_headers.js';
import type { AnswerInfo, DirectDialect } from './direct_dialect.js';

/**
 * Longest time to open a connection, in milliseconds. Within a region this takes a few
 * milliseconds; a server that has lost power never responds.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Error codes of a connection that the server has closed or reset. */
const CONNECTION_LOST_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

/** Lowest status of a final answer. Node reads lower ones, and throws when it is to write them. */
const MIN_STATUS = 200;

const NO_HEADERS: ReadonlySet<string> = new Set();
const LENGTH_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** Options of {@link BackendCall}. */
export interface BackendCallOptions {
  readonly agent: BackendAgent;
  readonly dialect: DirectDialect;
  readonly request: BackendRequest;
  readonly listener: BackendListener;
  /**
   * Called with the length of each part of the answer's body. Returns whether the next part may be
   * read in the same turn of the event loop.
   */
  readonly onReceived: (bytes: number) => boolean;
  /** Called when the request has opened a connection. */
  readonly onConnected: () => void;
}

/** Sends a request, and checks each part of its answer before passing it to the listener. */
export class BackendCall implements BackendExchange {
  readonly #options: BackendCallOptions;

  readonly #request: ClientRequest;

  #response: IncomingMessage | undefined;

  readonly #writeTurn: NodeJS.Immediate;

  #isConnected = false;

  #isWritten = false;

  #isSettled = false;

  /** How the connection of an answer without a mark ends. */
  #connectionEnd: ConnectionEnd | undefined;

  #connectTimer: NodeJS.Timeout | undefined;

  #framing: FramingGuard | undefined;

  /** @param options - the request, and the listener for its answer */
  constructor(options: BackendCallOptions) {
    this.#options = options;
    const { agent, request } = options;
    const [host, port] = request.address.split(':');
    const target: IncarnationOptions = {
      agent,
      host,
      port: Number(port),
      method: request.request.method,
      path: request.request.target,
      headers: this.#buildHeaders(),
      setHost: false,
      incarnationId: request.incarnationId,
    };
    this.#request = openRequest(target);
    this.#request.on('socket', (socket) => this.#watchSocket(socket));
    this.#request.on('information', () => this.#framing?.recordInformation());
    this.#request.on('response', (response) => this.#handleResponse(response));
    this.#request.on('error', (error) => this.#handleError(error));
    this.#request.on('close', () => this.#handleClose());
    // Timers run before sockets are read: the caller's close, which cancels the call, may be there.
    this.#writeTurn = setImmediate(() => this.#write());
  }

  get mayHaveBeenSent(): boolean {
    return this.#isConnected && this.#isWritten;
  }

  cancel(): void {
    this.#isSettled = true;
    this.#stop();
  }

  #write(): void {
    this.#isWritten = true;
    this.#request.end(this.#options.request.request.body);
  }

  #buildHeaders(): string[] {
    const { dialect, request } = this.#options;
    const { body, headers, method } = request.request;
    const hasBody = body.length > 0 || !['GET', 'HEAD', 'DELETE', 'OPTIONS'].includes(method);
    const length = hasBody ? ['Content-Length', String(body.length)] : [];
    const systemHeaders = dialect.buildSystemHeaders(request);
    return [...headers, ...systemHeaders, ...length, 'Connection', 'keep-alive'];
  }

  #watchSocket(socket: Socket): void {
    this.#framing = new FramingGuard(socket, (reason) => this.#handleExcess(reason));
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
      this.#options.onConnected();
    });
  }

  #handleResponse(response: IncomingMessage): void {
    this.#response = response;
    this.#framing?.recordHead();
    if (this.#isSettled) return;
    response.on('error', () => undefined);
    const { dialect, listener } = this.#options;
    const status = response.statusCode ?? 0;
    const info = dialect.readAnswer(status, response.headers);
    if (!this.#checkAnswer(info, status)) return;
    this.#recordIdleTimeout(response);
    const excluded = response.headers['transfer-encoding'] ? NO_HEADERS : LENGTH_HEADERS;
    const { method } = this.#options.request.request;
    const isMarked = isFramed({ method, status, headers: response.headers });
    listener.onHead({
      status,
      headers: pickRawHeaders(response.rawHeaders, response.headers.connection, excluded),
      isAuthentic: info.isAuthentic,
      isEventStream: response.headers['content-type']?.startsWith('text/event-stream') === true,
      isFramed: isMarked,
      load: info.load,
    });
    response.on('data', (bytes: Buffer) => {
      this.#framing?.recordBody(bytes.length);
      if (!this.#isSettled) listener.onBody(bytes);
      if (!this.#options.onReceived(bytes.length)) pauseForTurn(response);
    });
    const { socket } = this.#request;
    if (!isMarked && socket) this.#connectionEnd = new ConnectionEnd(socket);
    response.on('end', () => this.#handleEnd());
  }

  /** Checks that the answer belongs to this request; fails the call otherwise. */
  #checkAnswer(info: AnswerInfo, status: number): boolean {
    const { requestId } = this.#options.request.request;
    if (!info.isMisdirected) this.#reportNotice(info);
    if (info.requestId !== undefined && info.requestId !== requestId) {
      this.#fail(BackendFailure.Broken, `answer belongs to request ${info.requestId}`);
    } else if (info.isMisdirected) {
      this.#fail(BackendFailure.Misdirected, 'another incarnation answers at this address');
    } else if (status < MIN_STATUS) {
      this.#fail(BackendFailure.Broken, `answer with status ${status}`);
    } else if (info.hasNotRun) {
      this.#handleDecline(status);
    } else if (info.requestId === undefined) {
      this.#fail(BackendFailure.Broken, 'answer without a request ID');
    } else if (status < 300 && !info.isAuthentic) {
      this.#fail(BackendFailure.Broken, 'successful answer without proof of its server');
    } else return true;
    return false;
  }

  /**
   * Reports what the answer says of its server. One to an earlier request on the connection
   * comes from the same process, but its limits may have changed since.
   */
  #reportNotice({ requestId, notice, isAuthentic }: AnswerInfo): void {
    const { listener, request } = this.#options;
    if (requestId === undefined || requestId === request.request.requestId) {
      listener.onNotice(notice, isAuthentic);
    } else if (notice.isLeaving || notice.pause) {
      const { isLeaving, pause } = notice;
      listener.onNotice({ kind: RateLimitKind.None, isLeaving, pause }, false);
    }
  }

  /** Drains a short body so that the connection can be reused: a full server declines often. */
  #handleDecline(status: number): void {
    const response = this.#response as IncomingMessage;
    this.#recordIdleTimeout(response);
    response.resume();
    this.#framing?.startDiscarding();
    this.#isSettled = true;
    this.#options.listener.onFailure(BackendFailure.Declined, `declined with status ${status}`);
  }

  #recordIdleTimeout(response: IncomingMessage): void {
    const hint = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))?.[1];
    const { socket } = this.#request;
    if (hint && socket) BackendAgent.setIdleTimeout(socket, Number(hint) * 1_000);
  }

  #handleEnd(): void {
    if (this.#isSettled) return;
    if (this.#response?.complete !== true) {
      this.#fail(BackendFailure.Lost, 'answer broke off');
      return;
    }
    if (this.#connectionEnd) {
      this.#connectionEnd.wasReset.then(
        (wasReset) => this.#finishUnframed(wasReset),
        () => this.#finishUnframed(true),
      );
      return;
    }
    this.#isSettled = true;
    // A server that answers before it has read the whole request still waits for the rest.
    if (!this.#request.writableFinished) this.#request.destroy();
    this.#options.listener.onComplete();
  }

  #finishUnframed(wasReset: boolean): void {
    if (this.#isSettled) return;
    if (wasReset) {
      this.#fail(
        BackendFailure.Lost,
        'connection was reset at the end of an answer without a length',
      );
      return;
    }
    this.#isSettled = true;
    this.#options.listener.onComplete();
  }

  #handleError(error: NodeJS.ErrnoException): void {
    // An error after a complete answer affects the connection but not the answer.
    if (this.#response?.complete === true) return;
    this.#fail(this.#classifyError(error), error.message || 'connection failed');
  }

  #classifyError({ code }: NodeJS.ErrnoException): BackendFailure {
    if (!this.mayHaveBeenSent) return BackendFailure.NotSent;
    return code !== undefined && CONNECTION_LOST_CODES.has(code)
      ? BackendFailure.Lost
      : BackendFailure.Broken;
  }

  /** Closes a connection whose bytes are no answer, or no end of one. */
  #handleExcess(reason: string): void {
    this.#fail(BackendFailure.Broken, reason);
    this.#stop();
  }

  #handleClose(): void {
    clearImmediate(this.#writeTurn);
    clearTimeout(this.#connectTimer);
    this.#framing?.stop();
    if (this.#response?.complete === true) return;
    this.#handleError(Object.assign(new Error('connection closed'), { code: 'ECONNRESET' }));
  }

  #fail(failure: BackendFailure, reason: string): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#stop();
    this.#options.listener.onFailure(failure, reason);
  }

  #stop(): void {
    clearImmediate(this.#writeTurn);
    clearTimeout(this.#connectTimer);
    this.#framing?.stop();
    this.#request.destroy();
  }
}

/** Reads no more of an answer until the next turn, when callers that take none of theirs are cut off. */
function pauseForTurn(response: IncomingMessage): void {
  response.pause();
  setImmediate(() => response.resume());
}
