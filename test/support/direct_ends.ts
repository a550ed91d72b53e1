/**
 * Fakes of both ends of a call that carries its own request ID: a backend server whose responses
 * a test gives, and a caller's connection that records the response.
 *
 * @module
 */
import type { SchedulerError } from '../../src/domain/errors/mod.js';
import {
  BackendFailure,
  DirectBackendClient,
  DirectReply,
  RateLimitKind,
  Reachability,
  ServerProbe,
} from '../../src/ports/mod.js';
import type {
  BackendExchange,
  BackendHead,
  BackendListener,
  BackendRequest,
  DirectHead,
  ServerNotice,
} from '../../src/ports/mod.js';

/** A request that reached a fake backend server. Tests send the response. */
export class FakeExchange implements BackendExchange {
  isCancelled = false;

  mayHaveBeenSent = true;

  constructor(
    readonly request: BackendRequest,
    readonly listener: BackendListener,
  ) {}

  cancel(): void {
    this.isCancelled = true;
  }

  /** What the server says of itself at the head of its response; undefined: nothing. */
  describeServer: () => ServerNotice | undefined = () => undefined;

  /** Sends a response head. */
  sendHead(changes: Partial<BackendHead> = {}): void {
    const notice = this.describeServer();
    if (notice) this.listener.onNotice(notice, true);
    this.listener.onHead({
      status: 200,
      headers: ['X-Mark', this.request.serverId],
      isAuthentic: true,
      isEventStream: false,
      isFramed: true,
      load: undefined,
      ...changes,
    });
  }

  /** Names a rate limit, as the head of each answer does; undefined: names none. */
  sendRateLimit(requestsPerSecond: number | undefined, isAuthentic = true): void {
    const notice =
      requestsPerSecond === undefined
        ? ({ kind: RateLimitKind.None } as const)
        : ({ kind: RateLimitKind.Limited, requestsPerSecond } as const);
    this.listener.onNotice(notice, isAuthentic);
  }

  /** Sends the events of a stream with the IDs in a range, both ends included. */
  events(from: number, to: number): void {
    for (let id = from; id <= to; id += 1) {
      this.listener.onBody(Buffer.from(`id: ${id}\ndata: ${id}\n\n`));
    }
  }

  /** Sends a complete response. */
  sendResponse(status = 200, body = 'ok', isFramed = true): void {
    this.sendHead({ status, isFramed });
    this.listener.onBody(Buffer.from(body));
    this.listener.onComplete();
  }

  fail(failure = BackendFailure.Broken): void {
    this.listener.onFailure(failure, 'test');
  }
}

/** A backend client that records the requests it is given. */
export class FakeBackend extends DirectBackendClient {
  readonly sent: FakeExchange[] = [];

  /** Servers to which idle connections were closed. */
  readonly closedIdle: string[] = [];

  /** Called with each request, for tests that answer automatically. */
  onSend: (exchange: FakeExchange) => void = () => undefined;

  override send(request: BackendRequest, listener: BackendListener): BackendExchange {
    const exchange = new FakeExchange(request, listener);
    this.sent.push(exchange);
    this.onSend(exchange);
    return exchange;
  }

  override closeIdle(incarnationId: string): void {
    this.closedIdle.push(incarnationId);
  }
}

/** A server probe with a configurable result per address; other addresses are open. */
export class FakeProbe extends ServerProbe {
  /** Addresses that were checked, in order. */
  readonly checkedAddresses: string[] = [];

  /** Whether every address counts as refusing connections. */
  isCut = false;

  /** Result for every address; undefined: as configured per address. */
  fixedResult: Reachability | undefined;

  /** Waits until a result is there. Default: results are there at once. */
  waitForResult: (result: Reachability) => Promise<void> = async () => undefined;

  /** Called with the address of each probe whose connection opens. */
  onOpen: (address: string) => void = () => undefined;

  /** @param ended - result by address; several entry hosts may share the map */
  constructor(readonly ended = new Map<string, Reachability>()) {
    super();
  }

  override async check(address: string): Promise<Reachability> {
    this.checkedAddresses.push(address);
    const result = this.#findResult(address);
    await this.waitForResult(result);
    if (result === Reachability.Open) this.onOpen(address);
    return result;
  }

  #findResult(address: string): Reachability {
    if (this.isCut) return Reachability.Refused;
    return this.fixedResult ?? this.ended.get(address) ?? Reachability.Open;
  }
}

/** A reply that records the response written to it. */
export class FakeReply extends DirectReply {
  head: DirectHead | undefined;

  body = '';

  error: SchedulerError | undefined;

  hasEnded = false;

  isAborted = false;

  /** Whether the caller has disconnected. */
  isDisconnected = false;

  /** Called when the whole answer is written. */
  onEnd: () => void = () => undefined;

  #handler: (() => void) | undefined;

  override get hasStarted(): boolean {
    return this.head !== undefined;
  }

  override onDisconnect(handler: () => void): void {
    this.#handler = handler;
  }

  override writeHead(head: DirectHead): void {
    if (this.head) throw new Error('Cannot write two heads');
    this.head = head;
  }

  override write(bytes: Buffer): void {
    this.body += bytes.toString();
  }

  override end(): void {
    this.hasEnded = true;
    this.onEnd();
  }

  override sendAnswer(head: DirectHead, body: Buffer): void {
    this.writeHead(head);
    this.write(body);
    this.end();
  }

  override abort(): void {
    this.isAborted = true;
  }

  override sendError(error: SchedulerError): void {
    if (this.head || this.error) throw new Error('Cannot send two responses');
    this.error = error;
  }

  /** Simulates that the caller disconnects. */
  disconnect(): void {
    this.isDisconnected = true;
    this.#handler?.();
  }
}
