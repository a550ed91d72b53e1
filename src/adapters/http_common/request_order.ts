/**
 * Handles the requests of one connection one after another.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

/** Most requests of one connection that are taken before the first of them is answered. */
const MAX_OPEN_REQUESTS = 128;

/** Each request adds listeners to its connection, and Node bounds the requests that it reads. */
const ANY_LISTENER_COUNT = 0;

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
    socket.setMaxListeners(ANY_LISTENER_COUNT);
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
   * Adds a request whose head has been read. Closing the connection for one that is too many would
   * take the answer from the one that is running; a refusal comes in its turn, and Node reads no
   * more while a few of them wait.
   *
   * @param socket - its connection
   * @param response - the answer to it
   * @returns whether the request may be handled; else it must be refused
   */
  addRequest(socket: Duplex, response: ServerResponse): boolean {
    const open = this.#connections.get(socket);
    if (!open) return false;
    const mayBeHandled = open.handlers.size < MAX_OPEN_REQUESTS;
    open.handlers.set(response, undefined);
    open.last = response;
    response.on('finish', () => {
      open.handlers.delete(response);
      const [handleNext] = open.handlers.values();
      // The answer that was sent may have been announced as the last one.
      if (!socket.writableEnded) handleNext?.();
    });
    return mayBeHandled;
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
