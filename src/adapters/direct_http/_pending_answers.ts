/**
 * Closes answers whose connections have closed before their turn.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Keeps the answers of each connection. Node emits 'close' for the one that is being sent alone: what is
 * kept for those behind it, which callers may ask for without waiting, would be kept for good.
 */
export class PendingAnswers {
  readonly #bySocket = new WeakMap<Socket, Set<ServerResponse>>();

  /** @param socket - a connection. @param response - one of its answers, which has not closed */
  add(socket: Socket, response: ServerResponse): void {
    const responses = this.#bySocket.get(socket) ?? this.#watch(socket);
    responses.add(response);
    response.once('close', () => responses.delete(response));
  }

  #watch(socket: Socket): Set<ServerResponse> {
    const responses = new Set<ServerResponse>();
    this.#bySocket.set(socket, responses);
    // Node's own event for the answer that is being sent comes first.
    socket.once('close', () => {
      setImmediate(() => responses.forEach((response) => response.emit('close')));
    });
    return responses;
  }
}
