/**
 * Implements the `ServerProbe` port with a TCP connection that is closed immediately.
 *
 * @module
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { ProbeCause, Reachability, ServerProbe } from '../../ports/mod.js';

/** Connect timeout in milliseconds, the same as for requests. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * Time for which a connection must stay open to a server whose process may be ending, in
 * milliseconds. The system closes what a process had open one by one: what it accepted meanwhile is reset.
 */
const ENDING_MS = 50;

/** Opens a connection without sending any data, and hands it on or closes it. */
export class TcpServerProbe extends ServerProbe {
  readonly #onOpen: (address: string, socket: Socket) => void;

  /** @param onOpen - takes each connection that opens. Default: it is closed */
  constructor(onOpen = (_address: string, socket: Socket): unknown => socket.destroy()) {
    super();
    this.#onOpen = onOpen;
  }

  override async check(address: string, cause: ProbeCause): Promise<Reachability> {
    const socket = await this.#connect(address);
    if (typeof socket === 'string') return socket;
    if (cause === ProbeCause.UnmarkedEnd && !(await staysOpen(socket)))
      return this.#checkAgain(address);
    if (socket.destroyed) return Reachability.Unknown;
    this.#onOpen(address, socket);
    return Reachability.Open;
  }

  /** A server without room also resets what it has accepted; one that has ended refuses now. */
  async #checkAgain(address: string): Promise<Reachability> {
    const socket = await this.#connect(address);
    if (typeof socket === 'string') return socket;
    socket.on('error', () => undefined).destroy();
    return Reachability.Open;
  }

  #connect(address: string): Promise<Socket | Reachability> {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const socket = connect({ host: host as string, port: Number(port) });
      const close = (reachability: Reachability): void => {
        socket.destroy();
        resolve(reachability);
      };
      const handleTimeout = (): void => close(Reachability.Unknown);
      const handleError = ({ code }: NodeJS.ErrnoException): void => {
        // The connection was accepted before it was reset.
        if (code === 'ECONNRESET') resolve(socket);
        else close(code === 'ECONNREFUSED' ? Reachability.Refused : Reachability.Unknown);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS).once('timeout', handleTimeout);
      socket.once('error', handleError);
      socket.once('connect', () => {
        socket.setTimeout(0).off('timeout', handleTimeout).off('error', handleError);
        resolve(socket);
      });
    });
  }
}

/** Waits to see whether a connection stays open. */
async function staysOpen(socket: Socket): Promise<boolean> {
  if (socket.destroyed) return false;
  const waiting = new AbortController();
  const { signal } = waiting;
  // Without a reader, the end of the connection would not be reported.
  socket.resume();
  const isClosed = once(socket, 'close', { signal }).then(
    () => false,
    () => false,
  );
  const isOpen = await Promise.race([isClosed, wait(ENDING_MS, true, { signal })]);
  waiting.abort();
  return isOpen;
}
