/**
 * HTTP client for calls to backend servers.
 *
 * @module
 */
import type { Socket } from 'node:net';
import { DirectBackendClient } from '../../ports/mod.js';
import type { BackendExchange, BackendListener, BackendRequest } from '../../ports/mod.js';
import { BackendAgent } from './_backend_agent.js';
import { BackendCall } from './_backend_call.js';
import type { DirectDialect } from './direct_dialect.js';

/**
 * Most connections of one entry host to one backend server. A server accepts a few hundred
 * connections from all entry hosts together, and runs about ten requests at once.
 */
const MAX_CONNECTIONS_PER_SERVER = 24;

/** Sends requests to backend servers over pooled connections. */
export class HttpDirectBackendClient extends DirectBackendClient {
  readonly #dialect: DirectDialect;

  readonly #agent = new BackendAgent(MAX_CONNECTIONS_PER_SERVER);

  #onConnected: (incarnationId: string) => void = () => undefined;

  readonly #onReceived: (bytes: number) => boolean;

  /**
   * @param dialect - names and formats of the headers
   * @param onReceived - called with the length of each part of an answer's body; returns whether
   *   the next part may be read in the same turn of the event loop
   */
  constructor(dialect: DirectDialect, onReceived: (bytes: number) => boolean = () => true) {
    super();
    this.#dialect = dialect;
    this.#onReceived = onReceived;
  }

  /** @param handler - called with each server to which a request has opened a connection */
  onConnected(handler: (incarnationId: string) => void): void {
    this.#onConnected = handler;
  }

  override send(request: BackendRequest, listener: BackendListener): BackendExchange {
    return new BackendCall({
      agent: this.#agent,
      dialect: this.#dialect,
      request,
      listener,
      onReceived: this.#onReceived,
      onConnected: () => this.#onConnected(request.incarnationId),
    });
  }

  override closeIdle(incarnationId: string): void {
    this.#agent.closeIdle(incarnationId);
  }

  /**
   * Keeps an open connection for the next request to its server.
   *
   * @param address - IP address and port of the server
   * @param socket - the connection, on which nothing was sent or received
   */
  keepReady(address: string, socket: Socket): void {
    this.#agent.ready.keep(address, socket);
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}
