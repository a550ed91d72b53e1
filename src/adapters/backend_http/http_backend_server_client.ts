/**
 * Client for the HTTP/1.1 API of backend servers.
 *
 * @module
 */
import http from 'node:http';
import * as z from 'zod';
import { formatReason } from '../../domain/errors/mod.js';
import type { BackendServer } from '../../domain/contracts/types.js';
import { BackendCallError, BackendCallStage, BackendServerClient } from '../../ports/mod.js';
import type {
  BackendAnswer,
  BackendCall,
  BackendLoad,
  CacheEvent,
  ResumePoint,
} from '../../ports/mod.js';
import { ExchangeGuard } from '../http_common/mod.js';
import { discardAnswer, hasNotRun, toBackendAnswer } from './_answer.js';
import { exchangeWithoutContinue, ExchangeError, exchangeWithContinue } from './_exchange.js';
import type { ReceivedHead } from './_exchange.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_REPORT_TIMEOUT_MS = 1000;
const IDLE_CONNECTION_TIMEOUT_MS = 30_000;
const MAX_REPORT_BYTES = 1_048_576;

const LOAD_SCHEMA = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  leaving: z.boolean().default(false),
});
const CACHE_EVENTS_SCHEMA = z.object({
  events: z.array(
    z.object({ sequence: z.number(), stored: z.boolean(), blockHash: z.string().max(64) }),
  ),
});

/** Options of {@link HttpBackendServerClient}. */
export interface HttpBackendServerClientOptions {
  /** Longest time to open a connection, in milliseconds. Default: 1000. */
  readonly connectTimeoutMs?: number;
  /** Longest pause within the body of an answer, in milliseconds. Default: 15000. */
  readonly idleTimeoutMs?: number;
  /** Longest wait for a load report, cache events or a cancellation, in ms. Default: 1000. */
  readonly reportTimeoutMs?: number;
}

/** Calls backend servers over HTTP/1.1. */
export class HttpBackendServerClient extends BackendServerClient {
  readonly #connectTimeoutMs: number;

  readonly #idleTimeoutMs: number;

  readonly #reportTimeoutMs: number;

  /** Pools of idle connections, by the URL of the backend server. */
  readonly #agents = new Map<string, http.Agent>();

  /** @param options - timeouts */
  constructor(options: HttpBackendServerClientOptions = {}) {
    super();
    this.#connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    this.#idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    this.#reportTimeoutMs = options.reportTimeoutMs ?? DEFAULT_REPORT_TIMEOUT_MS;
  }

  override async dispatch(call: BackendCall): Promise<BackendAnswer> {
    const received = await this.#exchange(call);
    if (hasNotRun(received.message)) {
      discardAnswer(received);
      throw new BackendCallError(
        BackendCallStage.AfterHandOver,
        `refused with status ${received.message.statusCode}`,
      );
    }
    return toBackendAnswer(received, call.method, this.#idleTimeoutMs);
  }

  override async resume(point: ResumePoint): Promise<BackendAnswer> {
    const path = `/v1/streams/${encodeURIComponent(point.streamId)}?offset=${point.offset}`;
    const received = await this.#get(point.backendServer, path, point.signal);
    const { statusCode } = received.message;
    if (statusCode !== 200) {
      received.message.destroy();
      throw new BackendCallError(
        BackendCallStage.Answering,
        `Cannot resume stream ${point.streamId}: status ${statusCode}`,
      );
    }
    return toBackendAnswer(received, 'GET', this.#idleTimeoutMs);
  }

  override async cancel(backendServer: BackendServer, streamId: string): Promise<void> {
    const url = new URL(`/v1/streams/${encodeURIComponent(streamId)}`, backendServer.url);
    await new Promise<void>((resolve) => {
      const request = http.request(
        url,
        { method: 'DELETE', agent: false, timeout: this.#reportTimeoutMs },
        (message) => {
          message.destroy();
          resolve();
        },
      );
      const guard = new ExchangeGuard(request, () => request.destroy());
      request.on('close', () => guard.stop());
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve());
      request.end();
    });
  }

  override async readLoad(backendServer: BackendServer): Promise<BackendLoad> {
    return LOAD_SCHEMA.parse(await this.#readReport(backendServer, '/v1/load'));
  }

  override async readCacheEvents(
    backendServer: BackendServer,
    after: number,
  ): Promise<readonly CacheEvent[]> {
    const report = await this.#readReport(backendServer, `/v1/cache-events?after=${after}`);
    return CACHE_EVENTS_SCHEMA.parse(report).events;
  }

  /** Closes all pooled connections. */
  close(): void {
    this.#agents.forEach((agent) => agent.destroy());
    this.#agents.clear();
  }

  async #exchange(call: BackendCall): Promise<ReceivedHead> {
    const { agent, connectTimeoutMs } = this.#getTarget(call.backendServer);
    if (!call.honoursContinue || call.body.length === 0) {
      return exchangeWithoutContinue(call, { agent: undefined, connectTimeoutMs });
    }
    try {
      return await exchangeWithContinue(call, { agent, connectTimeoutMs });
    } catch (error) {
      if (!mayRetryOnNewConnection(error) || !call.mayHandOver()) throw error;
      // The reused connection may be dead without a sign: everything sent on it is lost,
      // while new connections work. Other idle connections are as old, so they are closed.
      closeIdleConnections(agent);
      return exchangeWithContinue(call, { agent: undefined, connectTimeoutMs });
    }
  }

  #getTarget(backendServer: BackendServer): { agent: http.Agent; connectTimeoutMs: number } {
    let agent = this.#agents.get(backendServer.url);
    if (!agent) {
      agent = new http.Agent({
        keepAlive: true,
        timeout: IDLE_CONNECTION_TIMEOUT_MS,
        scheduling: 'lifo',
        noDelay: true,
      });
      this.#agents.set(backendServer.url, agent);
    }
    return { agent, connectTimeoutMs: this.#connectTimeoutMs };
  }

  async #readReport(backendServer: BackendServer, path: string): Promise<unknown> {
    const signal = AbortSignal.timeout(this.#reportTimeoutMs);
    const { message, guard } = await this.#get(backendServer, path, signal);
    const chunks: Uint8Array[] = [];
    let length = 0;
    try {
      for await (const chunk of message as AsyncIterable<Uint8Array>) {
        chunks.push(chunk);
        length += chunk.length;
        guard.recordBody(chunk.length);
        if (length > MAX_REPORT_BYTES)
          throw new Error(`the report exceeds ${MAX_REPORT_BYTES} bytes`);
      }
      if (message.statusCode !== 200) throw new Error(`status ${message.statusCode}`);
      return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
    } catch (error) {
      throw new BackendCallError(BackendCallStage.Answering, formatReason(error), {
        cause: error,
      });
    }
  }

  #get(backendServer: BackendServer, path: string, signal: AbortSignal): Promise<ReceivedHead> {
    return new Promise((resolve, reject) => {
      const url = new URL(path, backendServer.url);
      const request = http.get(url, { agent: false, signal });
      const guard = new ExchangeGuard(request, (reason) => request.destroy(new Error(reason)));
      request.on('response', (message) => resolve({ message, guard }));
      request.on('error', (error) => {
        reject(
          new BackendCallError(BackendCallStage.Answering, formatReason(error), { cause: error }),
        );
      });
    });
  }
}

function mayRetryOnNewConnection(error: unknown): boolean {
  return (
    error instanceof ExchangeError &&
    error.isReusedConnection &&
    error.stage === BackendCallStage.BeforeHandOver
  );
}

function closeIdleConnections(agent: http.Agent): void {
  Object.values(agent.freeSockets).forEach((sockets) => {
    sockets?.forEach((socket) => socket.destroy());
  });
}
