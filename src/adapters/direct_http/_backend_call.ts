/**
 * Sends one request to a backend server over Node's `http`.
 *
 * @module
 */
import { request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  ConnectionEnd,
  ExchangeGuard,
  isAnswerDecoded,
  isFinalStatus,
  isFramed,
} from '../http_common/mod.js';
import type { AnswerFraming } from '../http_common/mod.js';
import { BackendFailure, RateLimitKind } from '../../ports/mod.js';
import type { BackendExchange } from '../../ports/mod.js';
import { BackendAgent } from './_backend_agent.js';
import type { IncarnationOptions } from './_backend_agent.js';
import type { BackendCallOptions } from './_backend_call_options.js';
import { BodyParts } from './_body_parts.js';
import { pauseForTurn } from './_pause_for_turn.js';
import { pickRawHeaders } from './_raw_headers.js';
import type { AnswerInfo } from './direct_dialect.js';

/**
 * Longest time to open a connection, in milliseconds. Within a region this takes a few
 * milliseconds; a server that has lost power never responds.
 */
const CONNECT_TIMEOUT_MS = 400;

/** Error codes of a connection that the server has closed or reset. */
const CONNECTION_LOST_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);

const NO_HEADERS: ReadonlySet<string> = new Set();
const LENGTH_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** Sends a request, and checks each part of its answer before passing it to the listener. */
export class BackendCall implements BackendExchange {
  readonly #options: BackendCallOptions;

  readonly #request: ClientRequest;

  #response: IncomingMessage | undefined;

  readonly #writeTurn: NodeJS.Immediate;

  #isConnected = false;

  #isWritten = false;

  #isSettled = false;

  /** Parts of the body that have arrived together. */
  readonly #parts = new BodyParts((bytes) => {
    if (!this.#isSettled) this.#options.listener.onBody(bytes);
  });

  /** How the connection of an answer without a mark ends. */
  #connectionEnd: ConnectionEnd | undefined;

  #connectTimer: NodeJS.Timeout | undefined;

  readonly #guard: ExchangeGuard;

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
    this.#guard = new ExchangeGuard(this.#request, (reason) => this.#handleExcess(reason));
    this.#request.on('socket', (socket) => this.#watchSocket(socket));
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
    if (this.#isSettled) return;
    response.on('error', () => undefined);
    const { dialect, listener } = this.#options;
    const status = response.statusCode ?? 0;
    const info = dialect.readAnswer(status, response.headers);
    const { method } = this.#options.request.request;
    const framing = { method, status, headers: response.headers };
    if (!this.#checkAnswer(info, status) || !this.#checkCoding(framing)) return;
    this.#recordIdleTimeout(response);
    const excluded = response.headers['transfer-encoding'] ? NO_HEADERS : LENGTH_HEADERS;
    const isMarked = isFramed(framing);
    listener.onHead({
      status,
      headers: pickRawHeaders(response.rawHeaders, response.headers.connection, excluded),
      isAuthentic: info.isAuthentic,
      isEventStream: response.headers['content-type']?.startsWith('text/event-stream') === true,
      isFramed: isMarked,
      load: info.load,
    });
    response.on('data', (bytes: Buffer) => {
      this.#guard.recordBody(bytes.length);
      this.#parts.append(bytes);
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
    } else if (!isFinalStatus(status)) {
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

  /** Fails the call if the body comes in a coding that is not taken off. */
  #checkCoding(framing: AnswerFraming): boolean {
    if (isAnswerDecoded(framing)) return true;
    this.#fail(BackendFailure.Broken, 'answer in a transfer coding other than chunked');
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
    this.#guard.startDiscarding();
    this.#isSettled = true;
    this.#options.listener.onFailure(BackendFailure.Declined, `declined with status ${status}`);
  }

  #recordIdleTimeout(response: IncomingMessage): void {
    const hint = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))?.[1];
    const { socket } = this.#request;
    if (hint && socket) BackendAgent.setIdleTimeout(socket, Number(hint) * 1_000);
  }

  #handleEnd(): void {
    this.#parts.flush();
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
    this.#parts.clear();
    this.#fail(BackendFailure.Broken, reason);
    this.#stop();
  }

  #handleClose(): void {
    clearImmediate(this.#writeTurn);
    clearTimeout(this.#connectTimer);
    this.#guard.stop();
    if (this.#response?.complete === true) return;
    this.#handleError(Object.assign(new Error('connection closed'), { code: 'ECONNRESET' }));
  }

  #fail(failure: BackendFailure, reason: string): void {
    this.#parts.flush();
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#stop();
    this.#options.listener.onFailure(failure, reason);
  }

  #stop(): void {
    clearImmediate(this.#writeTurn);
    clearTimeout(this.#connectTimer);
    this.#guard.stop();
    this.#request.destroy();
  }
}
