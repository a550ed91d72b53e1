/**
 * Raw backend servers and a plain dialect for tests of this folder.
 *
 * @module
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { IncomingHttpHeaders } from 'node:http';
import type {
  BackendFailure,
  BackendHead,
  BackendListener,
  BackendRequest,
  DirectRequest,
} from '../../ports/mod.js';
import { DirectDialect } from './direct_dialect.js';
import type { AnswerFacts, CallFacts } from './direct_dialect.js';

/** Names that no outside system uses. */
export class TestDialect extends DirectDialect {
  override readonly ownHeaders = new Set(['x-meant-for', 'x-time-left']);

  override readCall(headers: IncomingHttpHeaders): CallFacts {
    return {
      requestId: headers['x-id'] as string | undefined,
      key: headers.authorization,
      deadlineMs: undefined,
      lastEventId: undefined,
      work: { promptTokens: 0, outputTokens: 0 },
      isSized: false,
    };
  }

  override buildSystemHeaders({ serverId, deadlineMs }: BackendRequest): string[] {
    return ['X-Meant-For', serverId, 'X-Time-Left', String(deadlineMs)];
  }

  override readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts {
    return {
      requestId: headers['x-id'] as string | undefined,
      isAuthentic: headers['x-mark'] !== undefined,
      hasNotRun: headers['x-not-run'] !== undefined,
      isMisdirected: status === 421,
      load: undefined,
    };
  }

  override buildRefusalHeaders(): string[] {
    return [];
  }
}

/** A server that answers the n-th request of a connection by a script. */
export interface RawServer {
  readonly address: string;
  readonly connectionCount: () => number;
  /** Settled when the first connection has been closed by its other end. */
  readonly firstClosed: Promise<void>;
  readonly close: () => void;
}

/**
 * @param serve - called with each request's number, over all connections
 * @returns the server
 */
export async function startRawServer(
  serve: (socket: Socket, request: number) => void,
): Promise<RawServer> {
  let connections = 0;
  let requests = 0;
  const sockets = new Set<Socket>();
  let noteClosed = (): void => undefined;
  const firstClosed = new Promise<void>((resolve) => {
    noteClosed = resolve;
  });
  const server: Server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', noteClosed);
    socket.on('data', (data) => {
      if (!data.toString('latin1').includes('HTTP/1.1')) return;
      requests += 1;
      serve(socket, requests);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    connectionCount: () => connections,
    firstClosed,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/** What became of a request. */
export interface Seen {
  readonly head: BackendHead | undefined;
  readonly body: string;
  readonly failure: BackendFailure | undefined;
}

/** Collects what a listener is told. */
export function collect(send: (listener: BackendListener) => unknown): Promise<Seen> {
  return new Promise((resolve) => {
    let head: BackendHead | undefined;
    let body = '';
    send({
      onHead: (told) => {
        head = told;
      },
      onBody: (bytes) => {
        body += bytes.toString('latin1');
      },
      onWhole: () => resolve({ head, body, failure: undefined }),
      onFailure: (failure) => resolve({ head, body, failure }),
    });
  });
}

/** @param requestId - the request's ID. @returns a small request */
export function buildRequest(requestId: string): DirectRequest {
  return {
    requestId,
    method: 'POST',
    target: '/work/1?a=b',
    path: '/work/1',
    hostName: 'api.example',
    headers: ['Host', 'api.example', 'X-Id', requestId],
    body: Buffer.from('question'),
    key: undefined,
    deadlineMs: 1_000,
    lastEventId: undefined,
    work: { promptTokens: 0, outputTokens: 0 },
    isSized: false,
  };
}
