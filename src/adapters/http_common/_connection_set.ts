/**
 * Tracks the open connections of one listener.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

interface Connection {
  isAdmitted: boolean;
  /** Bytes that had been read when its last answer was sent, or when it was opened. */
  quietBytes: number;
  readonly running: Set<ServerResponse>;
}

/** Admits connections up to a limit, and tracks the open answers of each. */
export class ConnectionSet {
  readonly #connections = new Map<Duplex, Connection>();

  readonly #maxAdmitted: number;

  #admittedCount = 0;

  /** @param maxAdmitted - most connections whose requests are served */
  constructor(maxAdmitted: number) {
    this.#maxAdmitted = maxAdmitted;
  }

  /** @param socket - a new connection */
  add(socket: Duplex): void {
    const quietBytes = readByteCount(socket);
    this.#connections.set(socket, { isAdmitted: false, quietBytes, running: new Set() });
    this.admit(socket);
    socket.once('close', () => {
      if (this.#connections.get(socket)?.isAdmitted) this.#admittedCount -= 1;
      this.#connections.delete(socket);
    });
  }

  /** @param socket - a connection. @returns whether it was added and is still open */
  has(socket: Duplex): boolean {
    return this.#connections.has(socket);
  }

  /**
   * Admits a connection if the limit allows it. Called again for each request of a connection
   * over the limit, which thus gets an error answer instead of being closed.
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
   * Tracks the answer to a request until it is closed.
   *
   * @param socket - the connection of the request
   * @param response - the answer
   * @param onClosed - called when the answer is closed
   */
  trackAnswer(socket: Duplex, response: ServerResponse, onClosed: () => void): void {
    const connection = this.#connections.get(socket);
    connection?.running.add(response);
    response.once('close', () => {
      connection?.running.delete(response);
      if (connection) connection.quietBytes = readByteCount(socket);
      onClosed();
    });
  }

  /** @param socket - a connection. @returns its open answers, oldest first */
  listOpenAnswers(socket: Duplex): readonly ServerResponse[] {
    return [...(this.#connections.get(socket)?.running ?? [])];
  }

  /** Destroys connections without an open answer, and on which no request is arriving. */
  closeQuiet(): void {
    this.#connections.forEach(({ running, quietBytes }, socket) => {
      if (running.size === 0 && readByteCount(socket) === quietBytes) socket.destroy();
    });
  }

  /** Destroys connections without an open answer. */
  closeIdle(): void {
    this.#connections.forEach(({ running }, socket) => {
      if (running.size === 0) socket.destroy();
    });
  }

  /** Destroys connections on which no complete request has arrived. */
  closeWithoutCompleteRequest(): void {
    this.#connections.forEach(({ running }, socket) => {
      if (![...running].some((response) => response.req.complete)) socket.destroy();
    });
  }
}

/** The connections of listeners are those of Node's `net` and `tls`. */
function readByteCount(socket: Duplex): number {
  return (socket as Socket).bytesRead;
}
