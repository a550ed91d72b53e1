/**
 * A stand-in for a platform service: the configuration service or the host list. It implements
 * the read side of Consul's KV protocol with blocking queries, which are called watches here.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseTarget, readBody, sendJson } from './_http.js';
import type { ListenAddress } from './_program.js';
import { RevisionStore } from './_revision_store.js';
import type { StoredKey } from './_revision_store.js';

/** Kinds of fault that can be injected. */
export enum PlatformFaultKind {
  None = 'none',
  /** All connections are destroyed, including those of waiting watches. */
  Down = 'down',
  /** Reads return the state at the time the fault was injected. */
  Stale = 'stale',
  /** Each response is delayed by `factor` × 100 ms. */
  Slow = 'slow',
}

/** Options of a stand-in platform service. */
export interface PlatformOptions {
  /** Delay before a write becomes visible, in milliseconds; 0 by default. */
  readonly lagMs?: number;
}

interface Watch {
  readonly prefix: string;
  readonly afterIndex: number;
  readonly response: ServerResponse;
}

const KV_PATH = '/v1/kv/';
const CONTROL_KV_PATH = '/_standin/kv/';
const SLOW_DELAY_UNIT_MS = 100;
const DEFAULT_WAIT_MS = 300_000;
const KEEP_ALIVE_MS = 120_000;
const WAIT_UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000 };

/** Parses a duration such as `10000ms` or `10s`; returns the default if it is absent. */
function parseWaitMs(text: string | null): number {
  const match = /^(\d+)(ms|s|m)$/.exec(text ?? '');
  return match ? Number(match[1]) * (WAIT_UNITS_MS[match[2] as string] as number) : DEFAULT_WAIT_MS;
}

function buildEntry(stored: StoredKey): object {
  return {
    LockIndex: 0,
    Key: stored.key,
    Flags: 0,
    Value: stored.value.toString('base64'),
    CreateIndex: stored.createIndex,
    ModifyIndex: stored.modifyIndex,
  };
}

/** Serves reads and watches below `/v1/kv/`, and writes for operators and tests below `_standin`. */
export class Platform {
  readonly #server: Server;

  readonly #watches = new Set<Watch>();

  readonly #writeDelayMs: number;

  #store = new RevisionStore();

  /** State that reads return under the fault `stale`. */
  #staleStore: RevisionStore | undefined;

  #fault = { kind: PlatformFaultKind.None, factor: 1 };

  #reads = 0;

  /** @param options - options of the service */
  constructor(options: PlatformOptions = {}) {
    this.#writeDelayMs = options.lagMs ?? 0;
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 });
    this.#server.on('request', (request, response) => {
      this.#handle(request, response).catch(() => request.socket.destroy());
    });
  }

  /**
   * Starts listening.
   *
   * @param address - address to listen on; port 0 picks a free port
   * @returns the base URL of the service
   */
  async open(address: ListenAddress): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address.port, address.host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `http://${address.host}:${port}`;
  }

  /** Stops at once and closes all connections. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = parseTarget(request);
    if (url.pathname.startsWith('/_standin/')) await this.#handleControl(url, request, response);
    else if (this.#fault.kind === PlatformFaultKind.Down) request.socket.destroy();
    else if (request.method !== 'GET' || !url.pathname.startsWith(KV_PATH)) {
      sendJson(response, 405, { error: 'the platform can only be read' });
    } else this.#read(url, response);
  }

  #read({ pathname, searchParams }: URL, response: ServerResponse): void {
    this.#reads += 1;
    const prefix = decodeURIComponent(pathname.slice(KV_PATH.length));
    const afterIndex = Number(searchParams.get('index') ?? 0);
    if (afterIndex === 0 || this.#getStore().read(prefix).index > afterIndex) {
      this.#send(prefix, response);
    } else this.#watch(prefix, afterIndex, parseWaitMs(searchParams.get('wait')), response);
  }

  #watch(prefix: string, afterIndex: number, waitMs: number, response: ServerResponse): void {
    const watch = { prefix, afterIndex, response };
    this.#watches.add(watch);
    const timer = setTimeout(() => this.#checkWatch(watch, true), waitMs);
    response.once('close', () => {
      this.#watches.delete(watch);
      clearTimeout(timer);
    });
  }

  /** Answers a watch whose prefix has changed or that must be answered without a change. */
  #checkWatch(watch: Watch, mustAnswer: boolean): void {
    const { prefix, afterIndex, response } = watch;
    if (this.#fault.kind === PlatformFaultKind.Down) response.destroy();
    else if (mustAnswer || this.#getStore().read(prefix).index > afterIndex) {
      this.#watches.delete(watch);
      this.#send(prefix, response);
    }
  }

  #send(prefix: string, response: ServerResponse): void {
    const delayMs =
      this.#fault.kind === PlatformFaultKind.Slow ? this.#fault.factor * SLOW_DELAY_UNIT_MS : 0;
    const send = (): void => {
      const state = this.#getStore().read(prefix);
      response.setHeader('x-consul-index', String(state.index));
      sendJson(response, state.keys.length === 0 ? 404 : 200, state.keys.map(buildEntry));
    };
    if (delayMs === 0) send();
    else setTimeout(send, delayMs);
  }

  #getStore(): RevisionStore {
    return this.#staleStore ?? this.#store;
  }

  #checkWatches(mustAnswer: boolean): void {
    [...this.#watches].forEach((watch) => this.#checkWatch(watch, mustAnswer));
  }

  async #handleControl(
    url: URL,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const route = `${request.method} ${url.pathname}`;
    if (url.pathname.startsWith(CONTROL_KV_PATH)) {
      const key = decodeURIComponent(url.pathname.slice(CONTROL_KV_PATH.length));
      this.#write(key, request.method === 'DELETE' ? undefined : body, response);
    } else if (route === 'GET /_standin/reads') {
      sendJson(response, 200, { reads: this.#reads, waiting: this.#watches.size });
    } else if (route === 'POST /_standin/faults') this.#setFault(body.toString(), response);
    else if (route === 'POST /_standin/restore') {
      this.#store.truncateAfter((JSON.parse(body.toString()) as { index: number }).index);
      this.#checkWatches(true);
      sendJson(response, 200, { index: this.#store.index });
    } else sendJson(response, 404, { error: `no ${route}` });
  }

  #write(key: string, value: Buffer | undefined, response: ServerResponse): void {
    const apply = (): void => {
      const index = this.#store.write(key, value);
      this.#checkWatches(false);
      sendJson(response, 200, { index });
    };
    if (this.#writeDelayMs === 0) apply();
    else setTimeout(apply, this.#writeDelayMs);
  }

  #setFault(text: string, response: ServerResponse): void {
    const order = JSON.parse(text) as { kind?: string; factor?: number };
    const kind = Object.values(PlatformFaultKind).find((each) => each === order.kind);
    if (!kind) {
      const kinds = Object.values(PlatformFaultKind).join(', ');
      sendJson(response, 400, { error: `Cannot set fault "${order.kind}": none of ${kinds}` });
      return;
    }
    this.#fault = { kind, factor: order.factor ?? 1 };
    this.#staleStore = kind === PlatformFaultKind.Stale ? this.#store.createCopy() : undefined;
    this.#checkWatches(false);
    sendJson(response, 200, { kind });
  }
}
