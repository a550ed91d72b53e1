/**
 * Limits the connections whose other end has not proved the cluster key.
 *
 * @module
 */
import type { Socket } from 'node:net';

/** Keeps the connections that came last: peers prove the key at once, and strangers may stay. */
export class UnprovenConnections {
  readonly #maxConnections: number;

  readonly #onClosed: () => void;

  /** The one that has been open for longest first. */
  readonly #sockets = new Set<Socket>();

  /**
   * @param maxConnections - most connections that are kept
   * @param onClosed - called with each connection that makes room for a new one
   */
  constructor(maxConnections: number, onClosed: () => void) {
    this.#maxConnections = maxConnections;
    this.#onClosed = onClosed;
  }

  /** @param socket - a new connection */
  add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    if (this.#sockets.size > this.#maxConnections) this.#closeOldest();
  }

  /** @param socket - connection whose other end has proved the key */
  remove(socket: Socket): void {
    this.#sockets.delete(socket);
  }

  #closeOldest(): void {
    const [oldest] = this.#sockets;
    if (!oldest) return;
    this.#sockets.delete(oldest);
    this.#onClosed();
    oldest.destroy();
  }
}
