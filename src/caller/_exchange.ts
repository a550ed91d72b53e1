/**
 * Sends one HTTP request of a caller client and provides the head of its answer.
 *
 * @module
 */
import http from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import https from 'node:https';
import type { Clock } from '../ports/mod.js';

const CONNECT_TIMEOUT_MS = 2000;

/** Pools of keep-alive connections, by protocol. */
export interface Agents {
  readonly http: http.Agent;
  readonly https: https.Agent;
}

/**
 * Closes all idle connections. After one connection has gone silent, the idle ones may have been
 * lost in the same way: requests sent over them may vanish while new connections work.
 *
 * @param agents - the pools to clear
 */
export function closeIdleConnections(agents: Agents): void {
  [agents.http, agents.https].forEach(({ freeSockets }) => {
    Object.values(freeSockets).forEach((sockets) => {
      sockets?.forEach((socket) => socket.destroy());
    });
  });
}

/** The request to send. */
export interface ExchangeCall {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** An exchange that failed before its answer was complete. */
export class ExchangeError extends Error {
  override readonly name = 'ExchangeError';

  /**
   * @param mayHaveBeenSent - whether the entry host may have received the request
   * @param message - what failed and why
   * @param options - the underlying error as `cause`
   */
  constructor(
    readonly mayHaveBeenSent: boolean,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Sends one request and waits for the head of its answer. */
export class Exchange {
  /** The head of the answer. Rejects with {@link ExchangeError}. */
  readonly head: Promise<IncomingMessage>;

  readonly #request: ClientRequest;

  #hasConnected = false;

  /**
   * @param call - the request to send
   * @param agents - the connection pools
   * @param clock - limits the time to connect
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
    // The caller may no longer await the head; this avoids an unhandled rejection.
    this.head.catch(() => undefined);
    this.#limitConnectTime(clock, isSecure ? 'secureConnect' : 'connect');
    this.#request.end(call.body);
  }

  /** Whether the request went over a connection that had been used before. */
  get isOnReusedConnection(): boolean {
    return this.#request.reusedSocket;
  }

  /** Aborts the exchange and closes its connection. */
  close(): void {
    this.#request.destroy();
  }

  #waitForHead(url: string): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      this.#request.once('response', resolve);
      // The listener stays for the lifetime of the request: it handles errors after the head,
      // which the reader receives through the answer itself.
      this.#request.on('error', (error) => {
        const message = `Cannot reach ${new URL(url).origin}: ${error.message}`;
        reject(new ExchangeError(this.#hasConnected, message, { cause: error }));
      });
    });
  }

  /**
   * Limits the time to connect and records when the connection is ready. No byte of the request
   * is sent before that, TLS handshake included.
   */
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
