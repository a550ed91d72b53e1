/**
 * One request that this entry host sends to a backend server for a peer.
 *
 * @module
 */
import { formatReason } from '../../domain/errors/mod.js';
import type { GatedJob, UrgencyGate } from '../../domain/paths/mod.js';
import { BackendFailure, PeerFault, ProxyEventKind } from '../../ports/mod.js';
import type {
  BackendExchange,
  BackendHead,
  BackendListener,
  BackendRequest,
  Clock,
  DirectBackendClient,
  ProxiedRequest,
  ProxyEvent,
  ServerEvidence,
  ServerNotice,
  Timer,
} from '../../ports/mod.js';
import { ReplyLog } from './_reply_log.js';
import type { KeptBytes } from './_reply_log.js';

/** Longest time for which a request waits for room, in milliseconds. */
const MAX_WAIT_MS = 250;

/** Options of a {@link ProxiedExchange}. */
export interface ProxiedExchangeOptions {
  readonly request: ProxiedRequest;
  readonly clock: Clock;
  readonly backend: DirectBackendClient;
  readonly gate: UrgencyGate;
  /** Tells whether the server may get work; asked again right before the request is sent. */
  readonly mayReceive: () => boolean;
  /** Called with what each answer says of its server. */
  readonly recordNotice: (evidence: ServerEvidence) => void;
  /** Called if this host could not connect to the server. */
  readonly onNotConnected: () => void;
  /** Whether the peer may ask for events again. */
  readonly isKept: boolean;
  readonly keptBytes: KeptBytes;
  /** Sends an event to the peer. Returns false if that was not possible. */
  readonly reply: (index: number, event: ProxyEvent) => boolean;
  /** Called once, when the exchange has ended, with its result and how long it waited for room. */
  readonly onEnd: (result: string, waitedMs: number) => void;
}

/** Waits for room, sends the request, and reports each event in order. */
export class ProxiedExchange implements BackendListener {
  /** Events of the exchange on their way to the peer. */
  readonly log: ReplyLog;

  readonly #options: ProxiedExchangeOptions;

  readonly #arrivedAtMs: number;

  readonly #job: GatedJob;

  #waitTimer: Timer | undefined;

  #exchange: BackendExchange | undefined;

  #isRunning = false;

  /** Time for which the request waited for room, in milliseconds. */
  #waitedMs = 0;

  #hasEnded = false;

  /** @param options - the request, and the way back to the peer */
  constructor(options: ProxiedExchangeOptions) {
    this.#options = options;
    this.#arrivedAtMs = options.clock.nowMs();
    const { clock, isKept, keptBytes, reply: send } = options;
    this.log = new ReplyLog({
      clock,
      isKept,
      keptBytes,
      send,
      onLost: () => this.#abandon('lost'),
    });
    this.#job = {
      urgency: options.request.urgency,
      start: () => this.#send(),
      refuse: () => this.refuseBusy(),
    };
  }

  /** Whether the request is not waiting for room any more. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Sends the request as soon as there is room. */
  start(): void {
    const { gate, clock } = this.#options;
    gate.submit(this.#job);
    if (this.#isRunning || this.#hasEnded) return;
    this.#waitTimer = clock.setTimer(MAX_WAIT_MS, () => {
      if (gate.remove(this.#job)) this.refuseBusy();
    });
  }

  /** @param reason - why the request is not sent */
  refuse(reason: string): void {
    this.#report({
      kind: ProxyEventKind.Failure,
      failure: BackendFailure.NotSent,
      reason,
      isBusy: false,
    });
    this.#end('refused');
  }

  /** Leaves the request, which is not sent, to another peer. */
  refuseBusy(): void {
    this.#report({
      kind: ProxyEventKind.Failure,
      failure: BackendFailure.NotSent,
      reason: 'the peer has no room',
      isBusy: true,
    });
    this.#end('busy');
  }

  /** Ends the exchange since this process ends. */
  abort(): void {
    if (this.#options.gate.remove(this.#job)) {
      this.refuseBusy();
      return;
    }
    this.#exchange?.cancel();
    this.onFailure(BackendFailure.Broken, PeerFault.Stopped);
  }

  /** Ends the exchange without a reply; one that has ended keeps its events for its peer. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.log.close();
    this.#abandon('cancelled');
  }

  onNotice(notice: ServerNotice, isAuthentic: boolean): void {
    const { request, recordNotice } = this.#options;
    const { requestId, incarnationId } = request;
    const sentAtMs = this.#arrivedAtMs + this.#waitedMs;
    recordNotice({ requestId, incarnationId, notice, isAuthentic, sentAtMs });
    this.#report({ kind: ProxyEventKind.Notice, notice, isAuthentic });
  }

  onHead(head: BackendHead): void {
    this.#report({ kind: ProxyEventKind.Head, head });
  }

  onBody(bytes: Buffer): void {
    this.#report({ kind: ProxyEventKind.Body, bytes });
  }

  onComplete(): void {
    this.#report({ kind: ProxyEventKind.Complete });
    this.#end('complete');
  }

  onFailure(failure: BackendFailure, reason: string): void {
    if (failure === BackendFailure.NotSent) this.#options.onNotConnected();
    this.#report({ kind: ProxyEventKind.Failure, failure, reason, isBusy: false });
    this.#end(failure);
  }

  #send(): void {
    this.#isRunning = true;
    this.#waitTimer?.cancel();
    const { backend, clock, request, mayReceive } = this.#options;
    this.#waitedMs = clock.nowMs() - this.#arrivedAtMs;
    if (!mayReceive()) {
      this.refuse('the backend server may receive no work');
      return;
    }
    try {
      this.#exchange = backend.send(buildRequest(request, this.#waitedMs), this);
    } catch (error) {
      this.onFailure(BackendFailure.NotSent, formatReason(error));
    }
  }

  /** A connection whose answer is complete may carry another request by now. */
  #abandon(result: string): void {
    if (this.#hasEnded) return;
    this.#exchange?.cancel();
    this.#options.gate.remove(this.#job);
    this.#end(result);
  }

  #report(event: ProxyEvent): void {
    if (!this.#hasEnded) this.log.append(event);
  }

  #end(result: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#waitTimer?.cancel();
    if (this.#isRunning) this.#options.gate.release();
    this.log.release();
    this.#options.onEnd(result, this.#waitedMs);
  }
}

function buildRequest(proxied: ProxiedRequest, waitedMs: number): BackendRequest {
  const { requestId, method, target, headers, body, ...rest } = proxied;
  const [path = target] = target.split('?');
  return {
    ...rest,
    deadlineMs: Math.max(1, Math.floor(rest.deadlineMs - waitedMs)),
    request: {
      requestId,
      method,
      target,
      path,
      hostName: '',
      headers,
      body: Buffer.from(body),
      key: undefined,
      deadlineMs: undefined,
      lastEventId: undefined,
      work: { promptTokens: 0, outputTokens: 0 },
      isSized: false,
    },
  };
}
