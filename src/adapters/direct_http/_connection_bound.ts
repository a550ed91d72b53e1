/**
 * Limits how many connections callers have open.
 *
 * @module
 */
import type { Socket } from 'node:net';

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
    if (this.#count > this.#maxConnections) (this.#takeLongestIdle() ?? socket).destroy();
    if (!socket.destroyed) this.#idle.set(socket, socket.bytesRead);
  }

  /** @param socket - connection on which a request has arrived */
  beginRequest(socket: Socket): void {
    this.#idle.delete(socket);
    this.#requests.set(socket, (this.#requests.get(socket) ?? 0) + 1);
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
