/**
 * Handles the requests of one connection one after another.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Requests of one connection whose answers haven't been sent. */
interface OpenRequests {
  /** By answer, in the order of arrival: handles a request that can be, and waits for its turn. */
  readonly handlers: Map<ServerResponse, (() => void) | undefined>;
  /** Answer to the request that arrived last. */
  last: ServerResponse | undefined;
}

/**
 * Handles a request once the answers to those before it on its connection have been sent. Each of
 * them may end the connection; a request that had been passed on by then would stay unanswered.
 */
export class RequestOrder {
  readonly #connections = new WeakMap<Duplex, OpenRequests>();

  /** @param socket - a new connection */
  addConnection(socket: Duplex): void {
    const handlers: OpenRequests['handlers'] = new Map();
    this.#connections.set(socket, { handlers, last: undefined });
    socket.once('close', () => {
      const responses = [...handlers.keys()];
      handlers.clear();
      // Node closes only the answer that it is sending.
      responses
        .filter((response) => response.socket === null)
        .forEach((response) => response.destroy().emit('close'));
    });
  }

  /**
   * Adds a request whose head has been read.
   *
   * @param socket - its connection
   * @param response - the answer to it
   */
  addRequest(socket: Duplex, response: ServerResponse): void {
    const open = this.#connections.get(socket);
    if (!open) return;
    open.handlers.set(response, undefined);
    open.last = response;
    response.on('finish', () => {
      open.handlers.delete(response);
      const [handleNext] = open.handlers.values();
      // The answer that was sent may have been announced as the last one.
      if (!socket.writableEnded) handleNext?.();
    });
  }

  /**
   * @param socket - a connection
   * @param response - an answer that is sent on it
   * @returns whether no request has arrived behind that of the answer
   */
  isLast(socket: Duplex, response: ServerResponse): boolean {
    return this.#connections.get(socket)?.last === response;
  }

  /**
   * Handles a request when its turn comes, if its connection lasts until then.
   *
   * @param socket - its connection
   * @param response - the answer to it
   * @param handle - handles the request
   */
  run(socket: Duplex, response: ServerResponse, handle: () => void): void {
    const handlers = this.#connections.get(socket)?.handlers;
    if (!handlers?.has(response)) return;
    const [first] = handlers.keys();
    if (first === response) handle();
    else handlers.set(response, handle);
  }
}
