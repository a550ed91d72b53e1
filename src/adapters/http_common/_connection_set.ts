/**
 * The open connections of one listener.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

interface Connection {
  isAdmitted: boolean;
  readonly running: Set<ServerResponse>;
}

/** Counts connections and knows what runs on each. */
export class ConnectionSet {
  readonly #connections = new Map<Duplex, Connection>();

  readonly #maxAdmitted: number;

  #admittedCount = 0;

  /** @param maxAdmitted - most connections that are served */
  constructor(maxAdmitted: number) {
    this.#maxAdmitted = maxAdmitted;
  }

  /** @param socket - a new connection */
  add(socket: Duplex): void {
    this.#connections.set(socket, { isAdmitted: false, running: new Set() });
    this.admit(socket);
    socket.once('close', () => {
      if (this.#connections.get(socket)?.isAdmitted) this.#admittedCount -= 1;
      this.#connections.delete(socket);
    });
  }

  /** @param socket - a connection. @returns whether it is open and was added */
  has(socket: Duplex): boolean {
    return this.#connections.has(socket);
  }

  /**
   * Admits a connection, where there is room. One over the limit is asked again
   * with each of its requests, so that it gets an answer and not a silent close.
   *
   * @param socket - the connection
   * @returns whether its requests are served
   */
  admit(socket: Duplex): boolean {
    const connection = this.#connections.get(socket);
    if (!connection) return false;
    if (!connection.isAdmitted && this.#admittedCount < this.#maxAdmitted) {
      connection.isAdmitted = true;
      this.#admittedCount += 1;
    }
    return connection.isAdmitted;
  }

  /**
   * Notes a request until its answer is closed.
   *
   * @param socket - its connection
   * @param response - its answer
   * @param onClosed - called when the answer is closed
   */
  note(socket: Duplex, response: ServerResponse, onClosed: () => void): void {
    this.#connections.get(socket)?.running.add(response);
    response.once('close', () => {
      this.#connections.get(socket)?.running.delete(response);
      onClosed();
    });
  }

  /** @param socket - a connection. @returns its answers that are not closed yet, oldest first */
  listRunning(socket: Duplex): readonly ServerResponse[] {
    return [...(this.#connections.get(socket)?.running ?? [])];
  }

  /** Destroys connections that carry no request. */
  closeWithoutRequest(): void {
    this.#connections.forEach(({ running }, socket) => {
      if (running.size === 0) socket.destroy();
    });
  }

  /** Destroys connections on which no whole request has arrived. */
  closeWithoutWholeRequest(): void {
    this.#connections.forEach(({ running }, socket) => {
      if (![...running].some((response) => response.req.complete)) socket.destroy();
    });
  }
}
