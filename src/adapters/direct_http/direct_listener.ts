/**
 * Takes calls in that bear their own request ID.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { CallerLimits } from '../../domain/routing/mod.js';
import type { DirectReply, DirectRequest } from '../../ports/mod.js';
import { NodeReply } from './_node_reply.js';
import { pickRawHeaders } from './_raw_headers.js';
import type { DirectDialect } from './direct_dialect.js';

/** Largest header block that is parsed at all, in bytes; published limits are lower. */
const MAX_HEADER_BYTES = 65_536;

/** Connections that may wait to be accepted; a full queue costs a caller seconds. */
const BACKLOG = 1_024;

/** Framing headers; the body goes on with a length of its own. */
const FRAMING_HEADERS = ['content-length', 'expect', 'authorization'];

/** What the listener needs. */
export interface DirectListenerOptions {
  readonly dialect: DirectDialect;
  /** Published limits, as they are now. */
  readonly getLimits: () => CallerLimits;
  /** Whether callers should leave this entry host: connections end behind their next answer. */
  readonly mustClose: () => boolean;
  /** Takes each call that was read whole. */
  readonly handle: (request: DirectRequest, reply: DirectReply) => void;
}

/** An HTTP listener for callers. */
export class DirectListener {
  readonly #options: DirectListenerOptions;

  readonly #server: Server;

  readonly #excluded: ReadonlySet<string>;

  /** @param options - what the listener needs */
  constructor(options: DirectListenerOptions) {
    this.#options = options;
    this.#excluded = new Set([...FRAMING_HEADERS, ...options.dialect.ownHeaders]);
    this.#server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 });
    this.#server.on('request', (message, response) => this.#handleRequest(message, response));
    this.#server.on('connection', () => this.#applyLimits());
  }

  /**
   * Listens.
   *
   * @param host - IP number
   * @param port - port; 0 lets the system choose
   * @returns the port
   */
  start(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: BACKLOG }, () => {
        this.#server.off('error', reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Closes connections on which no request is under way. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Listens no more and cuts what is open. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Limits change with the configuration; Node reads them for each connection anew. */
  #applyLimits(): void {
    const limits = this.#options.getLimits();
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  #handleRequest(message: IncomingMessage, response: ServerResponse): void {
    const { dialect, mustClose } = this.#options;
    const facts = dialect.readCall(message.headers);
    const { requestId } = facts;
    const reply = new NodeReply({ response, dialect, requestId, mustClose });
    message.on('error', () => undefined);
    this.#readBody(message, reply, (body) => {
      if (requestId === undefined) {
        reply.refuse(new SchedulerError(ErrorKind.RequestIdRequired));
        return;
      }
      this.#options.handle({ ...facts, requestId, ...this.#readTarget(message), body }, reply);
    });
  }

  #readTarget(
    message: IncomingMessage,
  ): Pick<DirectRequest, 'method' | 'target' | 'path' | 'hostName' | 'headers'> {
    const { method = 'GET', url: target = '/', headers, rawHeaders } = message;
    const query = target.indexOf('?');
    return {
      method,
      target,
      path: query < 0 ? target : target.slice(0, query),
      hostName: (headers.host ?? '').replace(/:\d+$/, '').toLowerCase(),
      headers: pickRawHeaders(rawHeaders, headers.connection, this.#excluded),
    };
  }

  #readBody(message: IncomingMessage, reply: DirectReply, onWhole: (body: Buffer) => void): void {
    const { maxBodyBytes } = this.#options.getLimits();
    const chunks: Buffer[] = [];
    let length = 0;
    message.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= maxBodyBytes) chunks.push(chunk);
      else if (length - chunk.length <= maxBodyBytes) {
        reply.refuse(new SchedulerError(ErrorKind.BodyTooLarge));
      }
    });
    message.on('end', () => {
      if (length > maxBodyBytes || reply.isGone) return;
      onWhole(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
  }
}
