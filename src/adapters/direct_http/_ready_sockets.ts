/**
 * Keeps open connections that no request has used yet.
 *
 * @module
 */
import type { Socket } from 'node:net';

/**
 * Longest time for which a connection is kept, in milliseconds: shorter than a server keeps an idle
 * one, and than the time after which its address may belong to another server.
 */
const MAX_KEPT_MS = 1_800;

/** Events after which a connection on which nothing was sent is of no use. */
const ENDING_EVENTS = ['timeout', 'data', 'end', 'error', 'close'];

interface KeptSocket {
  readonly socket: Socket;
  /** Forgets and closes it. */
  readonly drop: () => void;
}

/**
 * Keeps connections by address, one for each. A server accepts a limited number of them, and a new
 * one may take a slot for a moment, so that a probe hands its connection on to the next request.
 */
export class ReadySockets {
  readonly #sockets = new Map<string, KeptSocket>();

  /**
   * Keeps a connection until a request takes it, or for a bounded time.
   *
   * @param address - IP address and port
   * @param socket - an open connection on which nothing was sent or received
   */
  keep(address: string, socket: Socket): void {
    this.close(address);
    const drop = (): void => {
      if (this.#sockets.get(address)?.socket === socket) this.#sockets.delete(address);
      socket.destroy();
    };
    ENDING_EVENTS.forEach((event) => socket.on(event, drop));
    socket.setTimeout(MAX_KEPT_MS);
    this.#sockets.set(address, { socket, drop });
  }

  /** @param address - IP address and port. @returns the connection; undefined if there is none */
  take(address: string): Socket | undefined {
    const kept = this.#sockets.get(address);
    this.#sockets.delete(address);
    if (!kept) return undefined;
    ENDING_EVENTS.forEach((event) => kept.socket.off(event, kept.drop));
    return kept.socket.setTimeout(0);
  }

  /** @param address - address of a server whose connection is closed */
  close(address: string): void {
    this.#sockets.get(address)?.drop();
  }

  /** Closes all connections. */
  closeAll(): void {
    [...this.#sockets.keys()].forEach((address) => this.close(address));
  }
}
