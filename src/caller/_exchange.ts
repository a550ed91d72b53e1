/**
 * One HTTP request of a caller and the head of its answer.
 *
 * @module
 */
import http from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import https from 'node:https';
import type { Clock } from '../ports/mod.js';

const CONNECT_TIMEOUT_MS = 2000;

/** Connections that are kept for the next request. */
export interface Agents {
  readonly http: http.Agent;
  readonly https: https.Agent;
}

/**
 * Closes the connections that wait for their next use. When one connection has
 * gone silent, the others are as old: whatever is sent on them may vanish too,
 * while new ones work.
 *
 * @param agents - whose connections
 */
export function closeIdleConnections(agents: Agents): void {
  [agents.http, agents.https].forEach(({ freeSockets }) => {
    Object.values(freeSockets).forEach((sockets) => {
      sockets?.forEach((socket) => socket.destroy());
    });
  });
}

/** What is sent. */
export interface ExchangeCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** An exchange that broke before its answer was whole. */
export class ExchangeError extends Error {
  override readonly name = 'ExchangeError';

  /**
   * @param mayHaveBeenSent - whether the entry host may have the request
   * @param message - what could not be done, and why
   * @param options - the error underneath
   */
  constructor(
    readonly mayHaveBeenSent: boolean,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Sends one request. */
export class Exchange {
  /** The answer's head. Fails with {@link ExchangeError}. */
  readonly head: Promise<IncomingMessage>;

  readonly #request: ClientRequest;

  #hasConnected = false;

  /**
   * @param call - what to send
   * @param agents - where to take connections from
   * @param clock - bounds the time to connect
   */
  constructor(call: ExchangeCall, agents: Agents, clock: Clock) {
    const isSecure = call.url.startsWith('https:');
    const send = isSecure ? https.request : http.request;
    this.#request = send(call.url, {
      method: call.method,
      headers: {
        ...call.headers,
        ...(call.body ? { 'content-length': String(call.body.length) } : {}),
      },
      agent: isSecure ? agents.https : agents.http,
      signal: call.signal,
    });
    this.head = this.#waitForHead(call.url);
    // Nobody may be waiting any more when it fails.
    this.head.catch(() => undefined);
    this.#limitConnectTime(clock, isSecure ? 'secureConnect' : 'connect');
    this.#request.end(call.body);
  }

  /** Whether its connection had been used before. */
  get isOnReusedConnection(): boolean {
    return this.#request.reusedSocket;
  }

  /** Ends the exchange and its connection. */
  close(): void {
    this.#request.destroy();
  }

  #waitForHead(url: string): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      this.#request.once('response', resolve);
      // Stays for the life of the request: later errors reach the reader through the answer.
      this.#request.on('error', (error) => {
        const message = `Cannot reach ${new URL(url).origin}: ${error.message}`;
        reject(new ExchangeError(this.#hasConnected, message, { cause: error }));
      });
    });
  }

  /** Before the connection is ready, TLS included, not a byte of the request can have left. */
  #limitConnectTime(clock: Clock, readyEvent: 'connect' | 'secureConnect'): void {
    const timer = clock.setTimer(CONNECT_TIMEOUT_MS, () => {
      if (!this.#hasConnected)
        this.#request.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`));
    });
    const markConnected = (): void => {
      this.#hasConnected = true;
      timer.cancel();
    };
    this.#request.once('socket', (socket) => {
      if (socket.connecting) socket.once(readyEvent, markConnected);
      else markConnected();
    });
    this.#request.once('close', () => timer.cancel());
  }
}
