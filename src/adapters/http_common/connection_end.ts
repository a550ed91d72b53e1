/**
 * Tells a connection that its server closed from one that was reset.
 *
 * @module
 */
import type { Socket } from 'node:net';

/**
 * Watches how a connection ends over which an answer without a length arrives. Such an answer is
 * incomplete if its connection was reset. The event loop reports a reset that arrives together
 * with the last bytes as a normal end; a write tells the two apart, since it fails on a connection
 * that was reset. It sends an empty line, which servers ignore before a request; after the end they
 * read no more anyway.
 */
export class ConnectionEnd {
  #wasReset = Promise.resolve(false);

  /** @param socket - the connection */
  constructor(socket: Socket) {
    socket.once('error', () => {
      this.#wasReset = Promise.resolve(true);
    });
    // The write must precede Node's closing of its own side.
    socket.prependOnceListener('end', () => {
      this.#wasReset = new Promise((resolve) => {
        socket.write('\r\n', (error) => resolve(error instanceof Error));
      });
    });
  }

  /** Resolves with whether the connection was reset; to be read once the answer has ended. */
  get wasReset(): Promise<boolean> {
    return this.#wasReset;
  }
}
