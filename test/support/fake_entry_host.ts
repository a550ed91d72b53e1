/**
 * A fake entry host for tests of callers: a real HTTP server whose responses the test defines.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A received request. */
export interface ReceivedRequest {
  readonly method: string;
  /** Path without query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Answers one request; a handler that does nothing simulates a silent host. */
export type FakeHandler = (request: ReceivedRequest, response: ServerResponse) => void;

async function readRequest(request: IncomingMessage): Promise<ReceivedRequest> {
  const chunks: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) chunks.push(part);
  const url = new URL(request.url ?? '/', 'http://fake');
  return {
    method: request.method ?? '',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(chunks).toString('utf8'),
  };
}

/** An HTTP server that records requests and answers them with the handler of the test. */
export class FakeEntryHost {
  readonly received: ReceivedRequest[] = [];

  /** Handler of requests, which a test may replace at any time. */
  handle: FakeHandler = (request, response) => {
    response.writeHead(404).end();
  };

  readonly #server: Server;

  private constructor() {
    this.#server = createServer((request, response) => {
      readRequest(request).then(
        (seen) => {
          this.received.push(seen);
          this.handle(seen, response);
        },
        () => response.destroy(),
      );
    });
  }

  /** Starts a server. @returns the server, on a free port of the loopback interface */
  static async start(): Promise<FakeEntryHost> {
    const host = new FakeEntryHost();
    await new Promise<void>((resolve) => {
      host.#server.listen(0, '127.0.0.1', resolve);
    });
    return host;
  }

  /** Base URL of the server. */
  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** @returns the received requests with a method and a path, such as `/v1/requests` */
  listReceived(method: string, path: string): readonly ReceivedRequest[] {
    return this.received.filter((request) => request.method === method && request.path === path);
  }

  /** Stops listening and destroys all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

/**
 * Sends a JSON response.
 *
 * @param response - response to write to
 * @param status - HTTP status
 * @param body - value of the body
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/**
 * Sends an error response in the format of entry hosts.
 *
 * @param response - response to write to
 * @param status - HTTP status
 * @param error - error code, run outcome and retry-after time
 */
export function sendRefusal(
  response: ServerResponse,
  status: number,
  error: { readonly code: string; readonly run: string; readonly retryAfterMs?: number },
): void {
  const completeError = {
    message: `refused: ${error.code}`,
    type: 'server_error',
    retryAfterMs: 0,
    ...error,
  };
  sendJson(response, status, { error: completeError });
}
