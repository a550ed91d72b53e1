/**
 * Handles the requests of one connection one after another.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Most requests of one connection that wait for their answers; each takes memory. */
const MAX_OPEN_REQUESTS = 128;

/** Listeners that others add to a connection, beside those of its requests. */
const MAX_OTHER_LISTENERS = 10;

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
    socket.setMaxListeners(MAX_OPEN_REQUESTS + MAX_OTHER_LISTENERS);
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
   * Adds a request whose head has been read. A connection with too many of them is closed.
   *
   * @param socket - its connection
   * @param response - the answer to it
   * @returns whether the request may be handled
   */
  addRequest(socket: Duplex, response: ServerResponse): boolean {
    const open = this.#connections.get(socket);
    if (!open || socket.destroyed) return false;
    if (open.handlers.size >= MAX_OPEN_REQUESTS) {
      socket.destroy();
      return false;
    }
    open.handlers.set(response, undefined);
    open.last = response;
    response.on('finish', () => {
      open.handlers.delete(response);
      const [handleNext] = open.handlers.values();
      // The answer that was sent may have been announced as the last one.
      if (!socket.writableEnded) handleNext?.();
    });
    return true;
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
