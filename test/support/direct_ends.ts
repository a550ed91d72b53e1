/**
 * Both ends of a call that bears its own ID: a backend server that tests play, and a
 * caller that keeps what it is sent.
 *
 * @module
 */
import type { SchedulerError } from '../../src/domain/errors/mod.js';
import {
  BackendFailure,
  DirectBackendClient,
  DirectReply,
  Reachability,
  ServerProbe,
} from '../../src/ports/mod.js';
import type {
  BackendExchange,
  BackendHead,
  BackendListener,
  BackendRequest,
  DirectHead,
} from '../../src/ports/mod.js';

/** A request that reached a fake backend server; tests play the server. */
export class FakeExchange implements BackendExchange {
  isCancelled = false;

  mayHaveLeft = true;

  constructor(
    readonly request: BackendRequest,
    readonly listener: BackendListener,
  ) {}

  cancel(): void {
    this.isCancelled = true;
  }

  /** Begins an answer. */
  head(changes: Partial<BackendHead> = {}): void {
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

  /** Sends events of a stream. */
  events(from: number, to: number): void {
    for (let id = from; id <= to; id += 1) {
      this.listener.onBody(Buffer.from(`id: ${id}\ndata: ${id}\n\n`));
    }
  }

  /** Answers whole. */
  answer(status = 200, body = 'ok', isFramed = true): void {
    this.head({ status, isFramed });
    this.listener.onBody(Buffer.from(body));
    this.listener.onWhole();
  }

  fail(failure = BackendFailure.Broken): void {
    this.listener.onFailure(failure, 'test');
  }
}

/** Collects what is sent. */
export class FakeBackend extends DirectBackendClient {
  readonly sent: FakeExchange[] = [];

  /** Called with each request, for tests whose servers play by themselves. */
  onSend: (exchange: FakeExchange) => void = () => undefined;

  override send(request: BackendRequest, listener: BackendListener): BackendExchange {
    const exchange = new FakeExchange(request, listener);
    this.sent.push(exchange);
    this.onSend(exchange);
    return exchange;
  }
}

/** Answers for addresses as tests have set them; all others accept connections. */
export class FakeProbe extends ServerProbe {
  readonly asked: string[] = [];

  /** Every connection is refused, whoever listens. */
  isCut = false;

  /** @param ended - what addresses answer, which several entry hosts may share */
  constructor(readonly ended = new Map<string, Reachability>()) {
    super();
  }

  override async check(address: string): Promise<Reachability> {
    this.asked.push(address);
    if (this.isCut) return Reachability.Refused;
    return this.ended.get(address) ?? Reachability.Open;
  }
}

/** Collects an answer. */
export class FakeReply extends DirectReply {
  head: DirectHead | undefined;

  body = '';

  error: SchedulerError | undefined;

  hasEnded = false;

  isAborted = false;

  isGone = false;

  #handler: (() => void) | undefined;

  override get hasBegun(): boolean {
    return this.head !== undefined;
  }

  override onGone(handler: () => void): void {
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
  }

  override sendWhole(head: DirectHead, body: Buffer): void {
    this.writeHead(head);
    this.write(body);
    this.end();
  }

  override abort(): void {
    this.isAborted = true;
  }

  override refuse(error: SchedulerError): void {
    if (this.head || this.error) throw new Error('Cannot answer twice');
    this.error = error;
  }

  /** The caller closes its connection. */
  leave(): void {
    this.isGone = true;
    this.#handler?.();
  }
}
