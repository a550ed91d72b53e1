/**
 * A small entry host for callers' tests: a real HTTP server whose answers the
 * test gives.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** One request as it came. */
export interface SeenRequest {
  readonly method: string;
  /** Path without query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Answers one request; does nothing to stay silent. */
export type FakeHandler = (request: SeenRequest, response: ServerResponse) => void;

async function readRequest(request: IncomingMessage): Promise<SeenRequest> {
  const parts: Buffer[] = [];
  for await (const part of request as AsyncIterable<Buffer>) parts.push(part);
  const url = new URL(request.url ?? '/', 'http://fake');
  return {
    method: request.method ?? '',
    path: url.pathname,
    query: url.searchParams,
    headers: request.headers,
    body: Buffer.concat(parts).toString('utf8'),
  };
}

/** Answers what the test tells it, and remembers what came. */
export class FakeEntryHost {
  readonly seen: SeenRequest[] = [];

  /** May be replaced between requests. */
  handle: FakeHandler = (request, response) => {
    response.writeHead(404).end();
  };

  readonly #server: Server;

  private constructor() {
    this.#server = createServer((request, response) => {
      readRequest(request).then(
        (seen) => {
          this.seen.push(seen);
          this.handle(seen, response);
        },
        () => response.destroy(),
      );
    });
  }

  /** @returns a server on a free port of the loopback interface */
  static async start(): Promise<FakeEntryHost> {
    const host = new FakeEntryHost();
    await new Promise<void>((resolve) => {
      host.#server.listen(0, '127.0.0.1', resolve);
    });
    return host;
  }

  /** Base URL. */
  get url(): string {
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** @returns requests for a path, such as `/v1/requests` */
  listSeen(method: string, path: string): readonly SeenRequest[] {
    return this.seen.filter((request) => request.method === method && request.path === path);
  }

  /** Closes the port and cuts every connection. @returns when both are done */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

/**
 * Answers JSON.
 *
 * @param response - where to
 * @param status - HTTP status
 * @param body - the value
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/**
 * Answers an error in the system's form.
 *
 * @param response - where to
 * @param status - HTTP status
 * @param error - code, outcome and advice
 */
export function sendRefusal(
  response: ServerResponse,
  status: number,
  error: { readonly code: string; readonly run: string; readonly retryAfterMs?: number },
): void {
  const full = {
    message: `refused: ${error.code}`,
    type: 'server_error',
    retryAfterMs: 0,
    ...error,
  };
  sendJson(response, status, { error: full });
}
