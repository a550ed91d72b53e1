/**
 * Connections to backend servers, kept for more requests.
 *
 * @module
 */
import { Agent } from 'node:http';
import type { ClientRequest, RequestOptions } from 'node:http';
import type { Socket } from 'node:net';

/** How long a quiet connection is kept where the server says nothing of it, in milliseconds. */
const DEFAULT_IDLE_MS = 4_000;

/**
 * Part of the server's idle time that is used. A request that is written while the
 * server closes the connection meets a reset, and nobody can tell whether it ran.
 */
const USED_IDLE_PART = 0.6;

/** Keeps what one connection's last answer said. */
interface KeptSocket extends Socket {
  idleMs?: number;
  dirtyListener?: () => void;
}

/** Options of a request, with the life of the backend server that it is for. */
export interface LifeOptions extends RequestOptions {
  readonly lifeId?: string;
}

/**
 * Reuses the connection that was quiet for the shortest time, and none on which
 * anything came while no request was under way: those bytes would be taken for the
 * head of the next request's answer.
 */
export class BackendAgent extends Agent {
  /** @param maxSockets - most connections to one address */
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, scheduling: 'lifo' });
  }

  /** @param socket - a connection. @param idleMs - the idle time that its server has stated */
  static setIdle(socket: Socket, idleMs: number): void {
    const kept: KeptSocket = socket;
    kept.idleMs = idleMs * USED_IDLE_PART;
  }

  /**
   * Called by Node for each request: connections with the same name serve the same
   * requests. Those to a former life of a server at the same address may be dead without
   * a sign, and a request that is written there may be taken for one that has run.
   */
  override getName(options: LifeOptions = {}): string {
    return `${super.getName(options)}:${options.lifeId ?? ''}`;
  }

  /** Called by Node when an answer is whole. */
  override keepSocketAlive(socket: KeptSocket): boolean {
    const kept = socket;
    super.keepSocketAlive(kept);
    kept.dirtyListener = () => kept.destroy();
    kept.on('data', kept.dirtyListener);
    kept.setTimeout(kept.idleMs ?? DEFAULT_IDLE_MS);
    return true;
  }

  /** Called by Node when a kept connection is given to the next request. */
  override reuseSocket(socket: KeptSocket, request: ClientRequest): void {
    if (socket.dirtyListener) socket.off('data', socket.dirtyListener);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}
