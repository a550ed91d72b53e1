/**
 * Accepts WebSocket connections from peers.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import type { EventLog } from '../../ports/mod.js';
import { startListening } from '../http_common/mod.js';
import type { InputGate } from '../http_common/mod.js';
import { UnprovenConnections } from './_unproven_connections.js';

const HEADERS_TIMEOUT_MS = 5_000;

/** Connections without a proof, some of which are no links yet, for each link without one. */
const CONNECTIONS_PER_LINK = 2;

/** HTTP status for a request that is not a WebSocket upgrade. */
const UPGRADE_REQUIRED = 426;

/** Options of {@link PeerListener}. */
export interface PeerListenerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 lets the operating system choose. */
  readonly port: number;
  /** Maximum size of a message, in bytes. */
  readonly maxMessageBytes: number;
  /** Most links whose other end has not proved the cluster key. */
  readonly maxUnauthenticatedLinks: number;
  /** Spreads the input of connections over turns, until they are WebSockets. */
  readonly gate: InputGate;
  /** Called with each connection that is closed for a limit. */
  readonly onClosed: () => void;
  /** Called with each accepted WebSocket and its TCP connection. */
  readonly onSocket: (webSocket: WebSocket, socket: Socket) => void;
  /** Receives a line while the address is not available. */
  readonly log: EventLog;
  /** Called with errors of the listener after its start. */
  readonly onError: (error: Error) => void;
}

/** Listens for WebSocket connections and refuses other HTTP requests. */
export class PeerListener {
  readonly #options: PeerListenerOptions;

  readonly #server: Server;

  readonly #webSocketServer: WebSocketServer;

  readonly #unproven: UnprovenConnections;

  /** @param options - address to listen on, limits and callbacks */
  constructor(options: PeerListenerOptions) {
    this.#options = options;
    this.#server = createServer((_request, response) => {
      options.gate.recordRequest();
      response.writeHead(UPGRADE_REQUIRED, { connection: 'close' }).end();
    });
    this.#server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.#server.requestTimeout = HEADERS_TIMEOUT_MS;
    const { gate, onClosed } = options;
    this.#unproven = new UnprovenConnections(
      options.maxUnauthenticatedLinks * CONNECTIONS_PER_LINK,
      onClosed,
    );
    this.#server.on('connection', (socket) => {
      this.#unproven.add(socket);
      gate.add(socket, onClosed);
    });
    // Before the library takes the connection over.
    this.#server.on('upgrade', ({ socket }) => gate.remove(socket));
    this.#webSocketServer = new WebSocketServer({
      server: this.#server,
      maxPayload: options.maxMessageBytes,
      perMessageDeflate: false,
    });
    this.#webSocketServer.on('connection', (webSocket, request) => {
      options.onSocket(webSocket, request.socket);
    });
  }

  /** @returns resolves to the port once the server listens */
  async start(): Promise<number> {
    const { host, port, log, onError } = this.#options;
    // The library emits errors of the server again, and an error without a handler is thrown.
    const ignoreError = (): void => undefined;
    this.#webSocketServer.on('error', ignoreError);
    const usedPort = await startListening(this.#server, { host, port }, log);
    this.#webSocketServer.off('error', ignoreError);
    this.#webSocketServer.on('error', onError);
    return usedPort;
  }

  /** @param socket - connection whose other end has proved the cluster key */
  recordProof(socket: Socket): void {
    this.#unproven.remove(socket);
  }

  /** @returns resolves once the server is closed; all its WebSockets must be closed before */
  close(): Promise<void> {
    if (!this.#server.listening) return Promise.resolve();
    return new Promise((resolve) => {
      this.#webSocketServer.close();
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
