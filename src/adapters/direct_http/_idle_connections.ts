/**
 * Closes connections of callers that stay idle for too long.
 *
 * @module
 */
import type { Socket } from 'node:net';
import type { CallerLimits } from '../../domain/routing/mod.js';

/** Time for which Node keeps an idle connection beyond its limit, in milliseconds. */
const NODE_EXTRA_MS = 1_000;

/** When a connection became quiet, and how much had arrived by then. */
interface QuietMark {
  readonly sinceMs: number;
  readonly bytesRead: number;
}

/**
 * Decides by the limits in force what Node decides by those at the last answer, and without a look
 * at what has arrived since: a part of a head, whose rest has its own limit.
 */
export class IdleConnections {
  readonly #getLimits: () => CallerLimits;

  readonly #marks = new WeakMap<Socket, QuietMark>();

  /** @param getLimits - returns the limits of the configuration in effect */
  constructor(getLimits: () => CallerLimits) {
    this.#getLimits = getLimits;
  }

  /** @param socket - connection that is quiet from now on, as its answer has been sent */
  recordQuiet(socket: Socket): void {
    this.#marks.set(socket, { sinceMs: performance.now(), bytesRead: socket.bytesRead });
  }

  /** @param socket - connection on which nothing has happened for the time that Node waits */
  handleTimeout(socket: Socket): void {
    const mark = this.#marks.get(socket);
    const { headerTimeoutMs, idleTimeoutMs } = this.#getLimits();
    if (mark && socket.bytesRead > mark.bytesRead) {
      this.recordQuiet(socket);
      socket.setTimeout(headerTimeoutMs);
      return;
    }
    const quietMs = mark ? performance.now() - mark.sinceMs : Infinity;
    const leftMs = idleTimeoutMs + NODE_EXTRA_MS - quietMs;
    if (leftMs > 0) socket.setTimeout(Math.ceil(leftMs));
    else socket.destroy();
  }
}
