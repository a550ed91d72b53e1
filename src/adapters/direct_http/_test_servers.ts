/**
 * Raw TCP backend servers and a minimal dialect for the tests of this folder.
 *
 * @module
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { IncomingHttpHeaders } from 'node:http';
import { RateLimitKind } from '../../ports/mod.js';
import type {
  BackendFailure,
  BackendHead,
  BackendListener,
  BackendRequest,
  DirectRequest,
  ServerNotice,
} from '../../ports/mod.js';
import { DirectDialect } from './direct_dialect.js';
import type { AnswerInfo, CallInfo } from './direct_dialect.js';

/** A dialect with header names that no real system uses. */
export class TestDialect extends DirectDialect {
  override readonly reservedHeaders = new Set(['x-meant-for', 'x-time-left']);

  override readCall(headers: IncomingHttpHeaders): CallInfo {
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

  override readAnswer(status: number, headers: IncomingHttpHeaders): AnswerInfo {
    return {
      requestId: headers['x-id'] as string | undefined,
      isAuthentic: headers['x-mark'] !== undefined,
      hasNotRun: headers['x-not-run'] !== undefined,
      isMisdirected: status === 421,
      load: undefined,
      notice: readRateLimit(headers['x-rate']),
    };
  }

  override buildRefusalHeaders(): string[] {
    return [];
  }
}

function readRateLimit(value: string | string[] | undefined): ServerNotice {
  return value === undefined
    ? { kind: RateLimitKind.None }
    : { kind: RateLimitKind.Limited, requestsPerSecond: Number(value) };
}

/** A server that answers requests with scripted bytes. */
export interface RawServer {
  readonly address: string;
  readonly countConnections: () => number;
  /** Resolves once the first connection is closed. */
  readonly firstClosed: Promise<void>;
  readonly close: () => void;
}

/**
 * Starts a server on a free port of the loopback interface.
 *
 * @param serve - handles each request; receives its number, counted over all connections
 * @returns the server
 */
export async function startRawServer(
  serve: (socket: Socket, request: number) => void,
): Promise<RawServer> {
  let connectionCount = 0;
  let requestCount = 0;
  const sockets = new Set<Socket>();
  let resolveFirstClosed = (): void => undefined;
  const firstClosed = new Promise<void>((resolve) => {
    resolveFirstClosed = resolve;
  });
  const server: Server = createServer((socket) => {
    connectionCount += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', resolveFirstClosed);
    socket.on('data', (data) => {
      if (!data.toString('latin1').includes('HTTP/1.1')) return;
      requestCount += 1;
      serve(socket, requestCount);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    countConnections: () => connectionCount,
    firstClosed,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/** Result of an exchange, as its listener received it. */
export interface ExchangeResult {
  readonly head: BackendHead | undefined;
  readonly body: string;
  readonly failure: BackendFailure | undefined;
  /** What the answers said about the server's rate limit, in order. */
  readonly rateLimits: readonly ServerNotice[];
}

/** Sends a request with a listener that collects the result. */
export function collectResult(
  send: (listener: BackendListener) => unknown,
): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    let head: BackendHead | undefined;
    let body = '';
    const rateLimits: ServerNotice[] = [];
    send({
      onNotice: (notice) => {
        rateLimits.push(notice);
      },
      onHead: (received) => {
        head = received;
      },
      onBody: (bytes) => {
        body += bytes.toString('latin1');
      },
      onComplete: () => resolve({ head, body, rateLimits, failure: undefined }),
      onFailure: (failure) => resolve({ head, body, rateLimits, failure }),
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
