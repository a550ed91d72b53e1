/**
 * A callers' listener with a fake gateway, for the tests of this folder.
 *
 * @module
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import { RequestGateway } from '../../application/views/mod.js';
import type {
  Assignment,
  CallerAnswer,
  CallerCall,
  ReadOptions,
  RequestReport,
} from '../../application/views/mod.js';
import type { AccountContract } from '../../domain/contracts/types.js';
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { RequestState } from '../../domain/requests/request_state.js';
import { FakeLog, FakeMetrics, FakeTracer } from '../../../test/support/fakes.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { DEFAULT_HTTP_LIMITS } from '../http_common/mod.js';
import type { HttpLimits, TlsIdentity } from '../http_common/mod.js';
import { CallersListener } from './mod.js';

export const API_KEY = 'key-a';

/** Body of a valid chat completion. */
export const CHAT_BODY =
  '{"model":"monsoon-draft","messages":[{"role":"user","content":"x"}],"odd":1}';

export const ACCOUNT: AccountContract = {
  accountId: 'firm-a',
  keyHashes: [],
  weight: 1,
  limits: { requestsPerSecond: 1, tokensPerSecond: 1, inFlight: 1 },
  longestDeadlineMs: 1000,
  work: [],
};

/** Builds an answer from chunks; an error among the chunks makes the body fail there. */
export function buildAnswer(
  pieces: Iterable<string | Error> | AsyncIterable<string | Error>,
  type = 'application/json',
): CallerAnswer {
  async function* createBody(): AsyncGenerator<Uint8Array> {
    for await (const piece of pieces) {
      if (piece instanceof Error) throw piece;
      yield Buffer.from(piece);
    }
  }
  const headers = {
    'content-type': type,
    'content-length': '9999',
    connection: 'x-hop',
    'x-hop': '1',
  };
  return {
    requestId: 'id-1',
    status: 200,
    isFramed: true,
    headers: { ...headers, 'backend-server': 'engine-1', 'stream-id': 's-1' },
    body: createBody(),
  };
}

/** A gateway that answers with a function set by the test, and records the calls it receives. */
export class FakeGateway extends RequestGateway {
  readonly calls: CallerCall[] = [];

  readonly reads: ReadOptions[] = [];

  /** Produces the answer of `submit` and `read`. */
  answer: (call: CallerCall | ReadOptions) => Promise<CallerAnswer> = async () =>
    buildAnswer(['{"ok":true}']);

  override authenticate(apiKey: string | undefined): AccountContract {
    if (apiKey === API_KEY) return ACCOUNT;
    throw new SchedulerError(ErrorKind.Unauthenticated);
  }

  override async assign(_account: AccountContract, key: string | undefined): Promise<Assignment> {
    return { id: `id-${key}`, entryHost: { id: 'a', url: 'http://a' }, entryHosts: [], keepMs: 1 };
  }

  override submit(call: CallerCall): Promise<CallerAnswer> {
    this.calls.push(call);
    return this.answer(call);
  }

  override read(
    _account: AccountContract,
    _id: string,
    options: ReadOptions,
  ): Promise<CallerAnswer> {
    this.reads.push(options);
    return this.answer(options);
  }

  override async readState(_account: AccountContract, id: string): Promise<RequestReport> {
    if (id === 'gone') throw new SchedulerError(ErrorKind.RequestIdExpired, { requestId: id });
    const state = RequestState.Queued;
    const hints = { code: undefined, backendServer: undefined, streamId: undefined };
    return { id, state, run: RunOutcome.NotRun, answerBytes: 0, ...hints };
  }

  override async cancel(account: AccountContract, id: string): Promise<RequestReport> {
    return { ...(await this.readState(account, id)), state: RequestState.Refused };
  }

  override listModels(): readonly string[] {
    return ['monsoon-draft'];
  }

  override findServiceIdByModel(model: string): string | undefined {
    return model === 'monsoon-draft' ? 'monsoon-llm' : undefined;
  }
}

/** The listener, its fakes and its address. */
export interface Fixture {
  readonly listener: CallersListener;
  readonly gateway: FakeGateway;
  readonly log: FakeLog;
  readonly metrics: FakeMetrics;
  readonly clock: VirtualClock;
  readonly port: number;
  readonly url: string;
}

/** Starts a listener on a free port of the loopback interface; the test's teardown stops it. */
export async function startFixture(
  t: { teardown(end: () => unknown): void },
  limits: Partial<HttpLimits> = {},
  tls?: TlsIdentity,
): Promise<Fixture> {
  const fakes = {
    gateway: new FakeGateway(),
    log: new FakeLog(),
    metrics: new FakeMetrics(),
    tracer: new FakeTracer(),
    clock: new VirtualClock(),
  };
  const listener = new CallersListener({
    ...fakes,
    limits: { ...DEFAULT_HTTP_LIMITS, ...limits },
    tls,
  });
  const { port } = await listener.start('127.0.0.1', 0);
  t.teardown(() => listener.stop());
  return { ...fakes, listener, port, url: `${tls ? 'https' : 'http'}://127.0.0.1:${port}` };
}

/** A raw TCP connection, to send bytes that no HTTP client would send. */
export class RawConnection {
  readonly socket: Socket;

  /** Resolves with all received text once the connection is closed. */
  readonly closed: Promise<string>;

  /** Resolves once the connection is open. */
  readonly opened: Promise<void>;

  #received = '';

  constructor(port: number, options: { allowHalfOpen?: boolean } = {}) {
    this.socket = connect({ ...options, port, host: '127.0.0.1' });
    this.socket.setEncoding('latin1');
    this.socket.on('data', (text: string) => {
      this.#received += text;
    });
    this.socket.on('error', () => undefined);
    this.opened = new Promise((resolve) => {
      this.socket.once('connect', () => resolve());
    });
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => resolve(this.#received));
    });
  }

  /** Waits until the received text matches the pattern. */
  async waitFor(pattern: RegExp): Promise<string> {
    while (!pattern.test(this.#received)) {
      if (this.socket.closed) throw new Error(`connection closed after: ${this.#received}`);
      await waitForTurn();
    }
    return this.#received;
  }
}

/** Sends text over a new connection, and resolves with the reply once that is closed. */
export async function sendRaw(port: number, text: string): Promise<string> {
  const connection = new RawConnection(port);
  connection.socket.write(text, 'latin1');
  return connection.closed;
}

/** Formats an HTTP/1.1 request that asks the server to close the connection. */
export function formatRequest(
  methodAndTarget: string,
  headers: Readonly<Record<string, string>> = {},
  body = '',
): string {
  const all: Record<string, string> = {
    host: 'x',
    authorization: `Bearer ${API_KEY}`,
    'content-length': String(body.length),
    connection: 'close',
    ...headers,
  };
  const lines = Object.entries(all)
    .filter(([, value]) => value !== '')
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${methodAndTarget} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

/** Formats a valid chat completion request. */
export function formatChat(headers: Readonly<Record<string, string>> = {}): string {
  return formatRequest('POST /v1/chat/completions', headers, CHAT_BODY);
}
