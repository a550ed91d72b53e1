/**
 * Pool of keep-alive connections to backend servers.
 *
 * @module
 */
import { Agent } from 'node:http';
import type { ClientRequest, RequestOptions } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ReadySockets } from './_ready_sockets.js';

/** Idle timeout of a connection whose server states none, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/**
 * Fraction of the server's idle timeout after which the connection is closed. A request
 * that is written while the server closes the connection is reset, and it is unknown
 * whether it ran.
 */
const USED_IDLE_FRACTION = 0.6;

/** A pooled connection, with the idle timeout that its server stated last. */
interface PooledSocket extends Socket {
  closeAfterIdleMs?: number;
  strayDataListener?: () => void;
}

/** Options of a request to one incarnation of a backend server. */
export interface IncarnationOptions extends RequestOptions {
  readonly incarnationId?: string;
}

/**
 * Reuses the most recently used idle connection. A connection that receives bytes while it
 * is idle is destroyed, since these would be read as the head of the next request's answer.
 */
export class BackendAgent extends Agent {
  /** Connections that were opened for other reasons, for the next requests. */
  readonly ready = new ReadySockets();

  /** @param maxSockets - most connections per address and incarnation */
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  /** @param socket - a connection. @param idleTimeoutMs - idle timeout that its server stated */
  static setIdleTimeout(socket: Socket, idleTimeoutMs: number): void {
    const pooled: PooledSocket = socket;
    pooled.closeAfterIdleMs = idleTimeoutMs * USED_IDLE_FRACTION;
  }

  /** @param incarnationId - a server whose idle connections are closed */
  closeIdle(incarnationId: string): void {
    // Links are often lost together, and none of these has shown since that it works.
    this.ready.closeAll();
    Object.entries(this.freeSockets)
      .filter(([name]) => name.endsWith(`:${incarnationId}`))
      .flatMap(([, sockets]) => [...(sockets ?? [])])
      .forEach((socket) => socket.destroy());
  }

  /**
   * Called by Node for each request; requests share the connections of the same name. A
   * connection to a former incarnation of a server at the same address may be dead without
   * a sign, and a request that is written to it would count as one that may have run.
   */
  override getName(options: IncarnationOptions = {}): string {
    return `${super.getName(options)}:${options.incarnationId ?? ''}`;
  }

  /** Called by Node for each request for which no idle connection is pooled. */
  override createConnection(
    options: RequestOptions,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    const ready = this.ready.take(`${options.host}:${options.port}`);
    return ready ?? super.createConnection(options, callback);
  }

  /** Closes all connections. */
  override destroy(): void {
    this.ready.closeAll();
    super.destroy();
  }

  /** Called by Node when an answer is complete. */
  override keepSocketAlive(socket: PooledSocket): boolean {
    const pooled = socket;
    super.keepSocketAlive(pooled);
    pooled.strayDataListener = () => pooled.destroy();
    pooled.on('data', pooled.strayDataListener);
    pooled.setTimeout(pooled.closeAfterIdleMs ?? DEFAULT_IDLE_TIMEOUT_MS);
    return true;
  }

  /** Called by Node when an idle connection is assigned to the next request. */
  override reuseSocket(socket: PooledSocket, request: ClientRequest): void {
    if (socket.strayDataListener) socket.off('data', socket.strayDataListener);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
