/**
 * Limits how many connections callers have open.
 *
 * @module
 */
import type { Socket } from 'node:net';
import { readDescriptorLimit } from './_descriptor_limit.js';
import { runAfterInput } from './_input_turns.js';

/** Share of this process's descriptors that callers may use; the others are for its own links. */
const CALLERS_DESCRIPTOR_SHARE = 3 / 4;

/** Memory that an idle connection takes, in bytes. */
const CONNECTION_BYTES = 9_216;

/** Connections beyond the limit that wait until it is known which others are idle, as a share of it. */
const EXCESS_SHARE = 1 / 8;

/** What bounds the connections of callers. */
export interface ConnectionLimits {
  /** Memory that they may take, in bytes. Default: any. */
  readonly memoryBytes?: number | undefined;
  /** Most sockets that this process may have open. Default: the limit of the process. */
  readonly maxSockets?: number | undefined;
}

/**
 * Computes how many connections callers may have open.
 *
 * @param limits - what bounds them, beside the limit of the process
 * @returns most connections of callers, at least 1
 */
export function computeMaxConnections(limits: ConnectionLimits = {}): number {
  const { memoryBytes = Infinity, maxSockets = Infinity } = limits;
  const descriptors = Math.min(readDescriptorLimit(), maxSockets) * CALLERS_DESCRIPTOR_SHARE;
  return Math.max(1, Math.floor(Math.min(descriptors, memoryBytes / CONNECTION_BYTES)));
}

/**
 * Closes connections beyond a limit: the one that has been idle for longest makes room for a new
 * one. A process without a free descriptor can neither accept anybody, such as those who ask
 * whether it is ready, nor open connections of its own.
 */
export class ConnectionBound {
  readonly #maxConnections: number;

  #count = 0;

  /** Idle connections with the bytes that had arrived by then; the longest idle one first. */
  readonly #idle = new Map<Socket, number>();

  /** Number of requests under way by connection, which callers may send without waiting. */
  readonly #requests = new Map<Socket, number>();

  /** @param maxConnections - most connections that are kept open */
  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
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
    if (this.#count <= this.#maxConnections) return;
    (this.#takeLongestIdle() ?? newest).destroy();
  }

  /**
   * @param socket - connection on which a request has arrived
   * @returns whether no other request of the connection waits for its answer
   */
  beginRequest(socket: Socket): boolean {
    this.#idle.delete(socket);
    const requests = (this.#requests.get(socket) ?? 0) + 1;
    this.#requests.set(socket, requests);
    return requests === 1;
  }

  /** @param socket - connection on which a request has ended */
  endRequest(socket: Socket): void {
    const requestsLeft = (this.#requests.get(socket) ?? 1) - 1;
    if (requestsLeft > 0) {
      this.#requests.set(socket, requestsLeft);
      return;
    }
    this.#requests.delete(socket);
    if (!socket.destroyed) this.#idle.set(socket, socket.bytesRead);
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
    }
    return undefined;
  }

  #remove(socket: Socket): void {
    this.#count -= 1;
    this.#idle.delete(socket);
    this.#requests.delete(socket);
  }
}
