/**
 * The HTTP listener for calls that carry their own request ID.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as TcpServer } from 'node:net';
import type { Socket } from 'node:net';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import {
  createMemoryBudgets,
  DEFAULT_MEMORY_BYTES,
  divideMemory,
} from '../../domain/memory/mod.js';
import type { MemoryBudgets } from '../../domain/memory/mod.js';
import type { CallerLimits } from '../../domain/routing/mod.js';
import type { DirectReply, DirectRequest, EventLog } from '../../ports/mod.js';
import {
  Admission,
  closeWithRefusal,
  CloseCause,
  computeMaxConnections,
  ConnectionBound,
  createCodingError,
  discardBody,
  HeldRequests,
  InputGate,
  isDecoded,
  RequestOrder,
  runAfterInput,
  startListening,
  toParserRefusal,
} from '../http_common/mod.js';
import type { CloseReport } from '../http_common/mod.js';
import { BodyReader } from './_body_reader.js';
import { BufferBudget } from './_buffer_budget.js';
import { IdleConnections } from './_idle_connections.js';
import { NodeReply } from './_node_reply.js';
import { pickRawHeaders } from './_raw_headers.js';
import type { DirectDialect } from './direct_dialect.js';

/** Largest header block that Node parses, in bytes; the limits for callers are lower. */
const MAX_HEADER_BYTES = 65_536;

/** Most connections that wait to be accepted; a full queue delays a caller by seconds. */
const LISTEN_BACKLOG = 1_024;

/** Interval of the checks for heads that take too long. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

const FULL_MESSAGE = 'Cannot accept the request: the requests of all callers exceed the limit';

/** Headers that are not forwarded: the body gets a new length, and the key stays here. */
const TERMINATED_HEADERS = ['content-length', 'expect', 'authorization'];

/** Options of {@link DirectListener}. */
export interface DirectListenerOptions {
  readonly dialect: DirectDialect;
  /** Returns the limits for callers of the configuration in effect. */
  readonly getLimits: () => CallerLimits;
  /** Whether connections are closed after their next answer, since this entry host drains. */
  readonly mustClose: () => boolean;
  /** Handles a call whose body has been read completely. */
  readonly handle: (request: DirectRequest, reply: DirectReply) => void;
  /** Receives a line while the address to listen on is not available. */
  readonly log: EventLog;
  /** Bounds of what callers make this process keep. Default: those of a small machine. */
  readonly memory?: Pick<MemoryBudgets, 'bodies' | 'unsent' | 'requests'> | undefined;
  /** Most connections of callers. Default: three quarters of what this process may have open. */
  readonly maxConnections?: number | undefined;
  /** Spreads the input of callers over turns. Default: one of its own. */
  readonly gate?: InputGate | undefined;
  /** Called when a connection is closed for a limit. */
  readonly onClosed?: CloseReport | undefined;
  /**
   * Called when an answer is broken off as its caller doesn't read it.
   *
   * @param requestId - ID of the request
   * @param bufferedBytes - bytes of the answer that wait for the caller
   */
  readonly onCallerTooSlow: (requestId: string | undefined, bufferedBytes: number) => void;
}

/** Listens for callers' HTTP requests, and passes each complete call to the handler. */
export class DirectListener {
  readonly #options: DirectListenerOptions;

  readonly #server: Server;

  readonly #idleConnections: IdleConnections;

  readonly #bodies: BodyReader;

  readonly #connectionBound: ConnectionBound;

  readonly #requestOrder = new RequestOrder();

  readonly #unsent: BufferBudget;

  readonly #requests: HeldRequests;

  readonly #gate: InputGate;

  /** Connections whose input can't be parsed any more. */
  readonly #brokenConnections = new WeakSet<Socket>();

  readonly #excludedHeaders: ReadonlySet<string>;

  /** Answers that have not ended, or whose last bytes wait for their callers. */
  readonly #responses = new Set<ServerResponse>();

  /** @param options - the dialect, the limits and the handler */
  constructor(options: DirectListenerOptions) {
    this.#options = options;
    const memory = options.memory ?? createMemoryBudgets(divideMemory(DEFAULT_MEMORY_BYTES));
    this.#bodies = new BodyReader(memory.bodies, ({ socket }) => this.#stopInput(socket));
    this.#gate = options.gate ?? new InputGate();
    this.#unsent = new BufferBudget(memory.unsent);
    this.#requests = new HeldRequests(memory.requests);
    this.#excludedHeaders = new Set([...TERMINATED_HEADERS, ...options.dialect.reservedHeaders]);
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: 0,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    });
    this.#server.on('request', (message, response) => this.#handleRequest(message, response));
    this.#idleConnections = new IdleConnections(options.getLimits);
    this.#connectionBound = new ConnectionBound(options.maxConnections ?? computeMaxConnections(), {
      onClosed: () => options.onClosed?.(CloseCause.Connections),
    });
    this.#server.on('connection', (socket) => {
      this.#applyLimits();
      this.#connectionBound.add(socket);
      this.#requestOrder.addConnection(socket);
      this.#gate.add(socket, () => options.onClosed?.(CloseCause.Input));
    });
    this.#server.on('clientError', (error, socket) =>
      this.#handleClientError(error, socket as Socket),
    );
    this.#server.on('timeout', (socket) => this.#idleConnections.handleTimeout(socket));
  }

  /**
   * Starts listening, once the address is available.
   *
   * @param host - IP address to listen on
   * @param port - port to listen on; 0 selects a free port
   * @returns the port in use
   */
  start(host: string, port: number): Promise<number> {
    const address = { host, port, backlog: LISTEN_BACKLOG };
    return startListening(this.#server, address, this.#options.log);
  }

  /** Number of answers that have ended, and whose last bytes wait for their callers. */
  get unsentCount(): number {
    return [...this.#responses].filter((response) => response.writableEnded).length;
  }

  /** Refuses new connections and closes idle ones; answers go on until their callers have them. */
  stopAccepting(): void {
    // An HTTP server would take connections for idle whose answers wait for their callers.
    TcpServer.prototype.close.call(this.#server);
    this.#connectionBound.closeIdle();
  }

  /** Stops listening and closes all connections, without waiting for open answers. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Applies the current timeouts, which may change; Node reads them for each connection and answer. */
  #applyLimits(): void {
    const limits = this.#options.getLimits();
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  #stopInput(socket: Socket): void {
    this.#gate.block(socket);
    this.#options.onClosed?.(CloseCause.RefusedBody);
  }

  /** Refuses what is no request; requests before it on the connection are answered first. */
  #handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    this.#gate.block(socket);
    this.#brokenConnections.add(socket);
    if (this.#connectionBound.hasCompleteRequest(socket)) return;
    if (error.code === 'ECONNRESET' || socket.writableEnded) socket.destroy();
    else closeWithRefusal(socket, toParserRefusal(error));
  }

  #handleRequest(message: IncomingMessage, response: ServerResponse): void {
    this.#gate.recordRequest();
    const { dialect, getLimits, mustClose, onCallerTooSlow, onClosed } = this.#options;
    const { socket } = message;
    if (socket.destroyed) return;
    this.#applyLimits();
    const mayBeHandled = this.#requestOrder.addRequest(socket, response);
    const isFirst = this.#connectionBound.beginRequest(message);
    const admission = mayBeHandled
      ? this.#requests.admit(message, response, isFirst)
      : this.#requests.admitRefusal(response);
    if (admission === Admission.Closed) {
      onClosed?.(CloseCause.Requests);
      socket.destroy();
      return;
    }
    this.#responses.add(response);
    response.on('finish', () => this.#idleConnections.recordQuiet(message.socket));
    response.on('close', () => {
      this.#responses.delete(response);
      this.#connectionBound.endRequest(socket);
    });
    const info = dialect.readCall(message.headers);
    const { requestId } = info;
    const reply = new NodeReply({
      response,
      dialect,
      unsent: this.#unsent,
      requestId,
      mustClose: () =>
        (mustClose() || this.#brokenConnections.has(socket)) &&
        this.#requestOrder.isLast(socket, response),
      onCallerTooSlow: (bufferedBytes) => onCallerTooSlow(requestId, bufferedBytes),
    });
    message.on('error', () => undefined);
    const { maxBodyBytes } = getLimits();
    if (admission === Admission.Refused) {
      discardBody(message, {
        maxBytes: maxBodyBytes,
        mayBeSound: true,
        onExceeded: () => this.#stopInput(socket),
      });
      reply.sendError(new SchedulerError(ErrorKind.TooManyConnections, { message: FULL_MESSAGE }));
      return;
    }
    this.#bodies.read({ message, response, reply, maxBodyBytes }, (body) => {
      if (requestId === undefined) {
        reply.sendError(new SchedulerError(ErrorKind.RequestIdRequired));
        return;
      }
      if (!isDecoded(message.headers['transfer-encoding'])) {
        reply.sendError(createCodingError());
        return;
      }
      const request = { ...info, requestId, ...this.#readTarget(message), body };
      // A process that reads late would spend its time on calls whose callers have left unread.
      runAfterInput(() => this.#handleInOrder(request, reply, response));
    });
  }

  #handleInOrder(request: DirectRequest, reply: DirectReply, response: ServerResponse): void {
    const readAtMs = performance.now();
    this.#requestOrder.run(response.req.socket, response, () => {
      const heldMs = performance.now() - readAtMs;
      if (!reply.isDisconnected) this.#options.handle({ ...request, heldMs }, reply);
    });
  }

  #readTarget(
    message: IncomingMessage,
  ): Pick<DirectRequest, 'method' | 'target' | 'path' | 'hostName' | 'headers'> {
    const { method = 'GET', url: target = '/', headers, rawHeaders } = message;
    const queryIndex = target.indexOf('?');
    return {
      method,
      target,
      path: queryIndex < 0 ? target : target.slice(0, queryIndex),
      hostName: (headers.host ?? '').replace(/:\d+$/, '').toLowerCase(),
      headers: pickRawHeaders(rawHeaders, headers.connection, this.#excludedHeaders),
    };
  }
}
