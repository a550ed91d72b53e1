/**
 * Listens for links from peers.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';

const HEADERS_TIMEOUT_MS = 5_000;
const UPGRADE_REQUIRED = 426;

/** What the listener needs. */
export interface PeerListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly maxMessageBytes: number;
  /** Called with each accepted web socket and the connection under it. */
  readonly onSocket: (webSocket: WebSocket, socket: Socket) => void;
  /** Called with faults of the listener after its start. */
  readonly onError: (error: Error) => void;
}

/** A listener for web sockets; any other request is refused. */
export class PeerListener {
  readonly #options: PeerListenerOptions;

  readonly #server: Server;

  readonly #webSocketServer: WebSocketServer;

  /** @param options - where to listen */
  constructor(options: PeerListenerOptions) {
    this.#options = options;
    this.#server = createServer((_request, response) => {
      response.writeHead(UPGRADE_REQUIRED, { connection: 'close' }).end();
    });
    this.#server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.#server.requestTimeout = HEADERS_TIMEOUT_MS;
    this.#webSocketServer = new WebSocketServer({
      server: this.#server,
      maxPayload: options.maxMessageBytes,
      perMessageDeflate: false,
    });
    this.#webSocketServer.on('connection', (webSocket, request) => {
      options.onSocket(webSocket, request.socket);
    });
  }

  /** @returns the port, once it listens */
  start(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#webSocketServer.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, () => {
        this.#webSocketServer.off('error', reject);
        this.#webSocketServer.on('error', this.#options.onError);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** @returns when it listens no more; its web sockets must be closed before */
  close(): Promise<void> {
    if (!this.#server.listening) return Promise.resolve();
    return new Promise((resolve) => {
      this.#webSocketServer.close();
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
