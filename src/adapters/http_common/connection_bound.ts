/**
 * Limits how many connections callers have open.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { readDescriptorLimit } from './_descriptor_limit.js';
import { runAfterInput } from './input_turns.js';

/** Share of this process's descriptors that callers may use; the others are for its own links. */
const CALLERS_DESCRIPTOR_SHARE = 3 / 4;

/** Memory that an idle connection takes, in bytes. */
const CONNECTION_BYTES = 9_216;

/** Connections beyond the limit that wait until it is known which others are idle, as a share of it. */
const EXCESS_SHARE = 1 / 8;

/** Time within which a head normally arrives, in milliseconds. */
const USUAL_HEAD_MS = 1_000;

/** Time within which a body normally arrives, in milliseconds. */
const USUAL_BODY_MS = 5_000;

/** What bounds the connections of callers. */
export interface ConnectionLimits {
  /** Memory that they may take, in bytes. Default: any. */
  readonly memoryBytes?: number | undefined;
  /** Most sockets that this process may have open. Default: the limit of the process. */
  readonly maxSockets?: number | undefined;
  /** Share of the sockets that they may take. Default: that of callers. */
  readonly descriptorShare?: number;
}

/**
 * Computes how many connections callers may have open.
 *
 * @param limits - what bounds them, beside the limit of the process
 * @returns most connections of callers, at least 1
 */
export function computeMaxConnections(limits: ConnectionLimits = {}): number {
  const { memoryBytes = Infinity, maxSockets = Infinity } = limits;
  const { descriptorShare = CALLERS_DESCRIPTOR_SHARE } = limits;
  const descriptors = Math.min(readDescriptorLimit(), maxSockets) * descriptorShare;
  return Math.max(1, Math.floor(Math.min(descriptors, memoryBytes / CONNECTION_BYTES)));
}

/** Options of {@link ConnectionBound}. */
export interface ConnectionBoundOptions {
  /**
   * Whether a connection whose request has waited for longest is closed if none is idle. For requests
   * that are answered at once, so that only clients that read nothing have any under way.
   */
  readonly closesBusy?: boolean;
  /** Called with each connection that is closed for the limit. */
  readonly onClosed?: (() => void) | undefined;
}

/** A connection with requests under way. */
interface BusyConnection {
  /** The request that arrived last; those before it are complete. */
  lastRequest: IncomingMessage;
  lastBeganAtMs: number;
  count: number;
}

/**
 * Closes connections beyond a limit: the one that has been idle for longest makes room for a new
 * one. A process without a free descriptor can neither accept anybody, such as those who ask
 * whether it is ready, nor open connections of its own.
 */
export class ConnectionBound {
  readonly #maxConnections: number;

  readonly #options: ConnectionBoundOptions;

  #count = 0;

  /** Idle connections with the bytes that had arrived by then; the longest idle one first. */
  readonly #idle = new Map<Socket, number>();

  /** When a connection without a request was first seen to have input, in milliseconds. */
  readonly #arrivingSinceMs = new Map<Socket, number>();

  /** Requests under way by connection, which callers may send without waiting; the oldest first. */
  readonly #requests = new Map<Socket, BusyConnection>();

  /**
   * @param maxConnections - most connections that are kept open
   * @param options - which connections make room
   */
  constructor(maxConnections: number, options: ConnectionBoundOptions = {}) {
    this.#maxConnections = maxConnections;
    this.#options = options;
  }

  /** @param socket - new connection; it is closed if all others are in use */
  add(socket: Socket): void {
    this.#count += 1;
    socket.once('close', () => this.#remove(socket));
    if (this.#count > this.#maxConnections * (1 + EXCESS_SHARE)) this.#makeRoom(socket);
    else if (this.#count > this.#maxConnections) runAfterInput(() => this.#makeRoom(socket));
    if (!socket.destroyed) this.#idle.set(socket, socket.bytesRead);
  }

  /** Closes an idle connection, or the new one if there is none, unless another one has closed. */
  #makeRoom(newest: Socket): void {
    if (this.#count <= this.#maxConnections || newest.destroyed) return;
    this.#options.onClosed?.();
    this.#pickForClose(newest).destroy();
  }

  /**
   * @param request - request whose head has arrived
   * @returns whether no other request of its connection waits for its answer
   */
  beginRequest(request: IncomingMessage): boolean {
    const { socket } = request;
    this.#idle.delete(socket);
    this.#arrivingSinceMs.delete(socket);
    const count = (this.#requests.get(socket)?.count ?? 0) + 1;
    const lastBeganAtMs = performance.now();
    this.#requests.set(socket, { lastRequest: request, lastBeganAtMs, count });
    return count === 1;
  }

  /** @param socket - connection on which a request has ended */
  endRequest(socket: Socket): void {
    const connection = this.#requests.get(socket);
    if (connection && connection.count > 1) {
      connection.count -= 1;
      return;
    }
    this.#requests.delete(socket);
    if (!socket.destroyed) this.#idle.set(socket, socket.bytesRead);
  }

  /** Takes the connection whose head has been arriving for longest, if it takes unusually long. */
  #takeSlowHead(): Socket | undefined {
    const [first] = this.#arrivingSinceMs;
    if (!first) return undefined;
    const [socket, sinceMs] = first;
    if (performance.now() - sinceMs < USUAL_HEAD_MS) return undefined;
    this.#arrivingSinceMs.delete(socket);
    this.#idle.delete(socket);
    return socket;
  }

  /** Takes a connection with a single request whose body takes unusually long. */
  #takeSlowBody(): Socket | undefined {
    const latestMs = performance.now() - USUAL_BODY_MS;
    for (const [socket, { lastRequest, lastBeganAtMs, count }] of this.#requests) {
      if (count === 1 && !lastRequest.complete && lastBeganAtMs < latestMs) {
        this.#requests.delete(socket);
        return socket;
      }
    }
    return undefined;
  }

  #pickForClose(newest: Socket): Socket {
    return (
      this.#takeLongestIdle() ??
      this.#takeSlowHead() ??
      this.#takeSlowBody() ??
      this.#takeBusy() ??
      newest
    );
  }

  #takeBusy(): Socket | undefined {
    if (!this.#options.closesBusy) return undefined;
    const [socket] = this.#requests.keys();
    if (socket) this.#requests.delete(socket);
    return socket;
  }

  /** @param socket - a connection. @returns whether a complete request of it waits for its answer */
  hasCompleteRequest(socket: Socket): boolean {
    const connection = this.#requests.get(socket);
    return connection !== undefined && (connection.count > 1 || connection.lastRequest.complete);
  }

  /** Closes the connections that are idle, and on which no request is arriving. */
  closeIdle(): void {
    for (let socket = this.#takeLongestIdle(); socket; socket = this.#takeLongestIdle())
      socket.destroy();
  }

  /** Takes the connection that has been idle for longest, and on which no request is arriving. */
  #takeLongestIdle(): Socket | undefined {
    for (const [socket, bytesRead] of this.#idle) {
      if (socket.bytesRead === bytesRead) {
        this.#idle.delete(socket);
        return socket;
      }
      if (!this.#arrivingSinceMs.has(socket)) this.#arrivingSinceMs.set(socket, performance.now());
    }
    return undefined;
  }

  #remove(socket: Socket): void {
    this.#count -= 1;
    this.#idle.delete(socket);
    this.#arrivingSinceMs.delete(socket);
    this.#requests.delete(socket);
  }
}
