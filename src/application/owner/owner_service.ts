/**
 * Accepts, runs and tracks the requests that this entry host owns.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { formatContentId, RequestLedger } from '../../domain/requests/mod.js';
import type { RequestId, RequestRecord } from '../../domain/requests/mod.js';
import { OutputPredictor, RetryBudget } from '../../domain/scheduling/mod.js';
import { Hop } from '../../ports/mod.js';
import type {
  BackendServerClient,
  Clock,
  EventLog,
  Metrics,
  Timer,
  Tracer,
} from '../../ports/mod.js';
import { Signal, startProcess } from '../channels/mod.js';
import type { CrashQuarantine } from '../crashes/mod.js';
import type { AllowanceSource, MembershipView, RequestReport, SlotSource } from '../views/mod.js';
import { recordRequestEnd } from './_record_request_end.js';
import { runRequest } from './_run_request.js';
import type { RunContext } from './_run_request.js';
import { AnswerStore } from './answer_store.js';
import type { AnswerHead } from './answer_buffer.js';
import { AnswerBuffer } from './answer_buffer.js';
import { hashCall } from './owned_call.js';
import type { OwnedCall } from './owned_call.js';
import { buildUnusedReport, OwnedRequest } from './owned_request.js';

const PRUNE_INTERVAL_MS = 1000;
/** Buffered size of an answer above which chunks that all readers have are discarded. */
const MAX_BUFFERED_BYTES = 4_194_304;
/** Time within which a disconnected caller may reconnect before its request is cancelled. */
const RECONNECT_GRACE_MS = 10_000;

/** Options of an owner service. */
export interface OwnerServiceOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly membership: MembershipView;
  readonly allowances: AllowanceSource;
  readonly crashes: CrashQuarantine;
  readonly slots: SlotSource;
  readonly backend: BackendServerClient;
  /** Maximum total size of the finished answers that are retained, in bytes. */
  readonly answerBytes: number;
  /** Time for which a finished answer is retained, in milliseconds. */
  readonly answerKeepMs: number;
  /** Maximum requests, running and finished, that are recorded at once. */
  readonly maxRecords: number;
}

/** A request and the head of its answer. */
export interface OwnedAnswer {
  readonly head: AnswerHead;
  readonly request: OwnedRequest;
}

/** Runs each call at most once, and reports its state and answer. */
export class OwnerService {
  readonly #options: OwnerServiceOptions;

  readonly #ledger: RequestLedger;

  readonly #requests = new Map<string, OwnedRequest>();

  readonly #store: AnswerStore;

  readonly #context: RunContext;

  readonly #idle = new Signal();

  #runningCount = 0;

  #isStopped = false;

  /** @param options - options of the service */
  constructor(options: OwnerServiceOptions) {
    this.#options = options;
    this.#ledger = new RequestLedger(options.membership.self.incarnation);
    this.#store = new AnswerStore({
      clock: options.clock,
      maxBytes: options.answerBytes,
      keepMs: options.answerKeepMs,
    });
    this.#context = {
      ...options,
      ledger: this.#ledger,
      outputs: new OutputPredictor(),
      retries: new RetryBudget(options.clock.nowMs()),
    };
    options.crashes.onQuarantined((contentId) => this.#refuseQuarantined(contentId));
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Total size of the retained finished answers, in bytes. */
  get keptAnswerBytes(): number {
    return this.#store.bytes;
  }

  /** Starts the periodic removal of expired records and answers. */
  start(): void {
    this.#options.clock.setTimer(PRUNE_INTERVAL_MS, () => {
      if (this.#isStopped) return;
      this.#prune();
      this.start();
    });
  }

  /** Stops the periodic removal. Running requests continue. */
  stop(): void {
    this.#isStopped = true;
  }

  /** @returns a promise that resolves when no request is running */
  async waitUntilIdle(): Promise<void> {
    while (this.#runningCount > 0) await this.#idle.wait();
  }

  /**
   * Accepts a call. The first call with an ID runs; copies of it get the same answer.
   *
   * @param id - the call's ID, whose MAC has been verified
   * @param call - the call
   * @param disconnectSignal - aborted when the caller disconnects
   * @returns the request and the head of its answer
   * @throws SchedulerError when the call is refused or fails
   */
  async submit(
    id: RequestId,
    call: OwnedCall,
    disconnectSignal: AbortSignal,
  ): Promise<OwnedAnswer> {
    const { clock } = this.#options;
    // A copy adds no record. To refuse it for lack of capacity would report a request
    // that may be running as not run.
    if (!this.#requests.has(id.nonce)) this.#checkCapacity();
    const { record, isFirst } = this.#ledger.accept(id, hashCall(call), clock.wallMs());
    const request = this.#requests.get(id.nonce) ?? this.#addRequest(record, call);
    request.addCaller(disconnectSignal);
    if (isFirst) this.#startRequest(request, call);
    return { head: await this.#waitForHead(request, call), request };
  }

  /**
   * @param id - a request's ID, whose MAC has been verified
   * @returns the request; undefined if the ID has not been used
   * @throws SchedulerError of kind OwnerGone or RequestIdExpired
   */
  find(id: RequestId): OwnedRequest | undefined {
    const record = this.#ledger.find(id, this.#options.clock.wallMs());
    return record ? this.#requests.get(id.nonce) : undefined;
  }

  /** @param id - a request's ID, whose MAC has been verified. @returns the request's state */
  readState(id: RequestId): RequestReport {
    return this.find(id)?.buildReport() ?? buildUnusedReport(id.text);
  }

  /**
   * Cancels a request. An ID that has not been used becomes unusable.
   *
   * @param id - the request's ID, whose MAC has been verified
   * @returns the state after the cancellation
   */
  cancel(id: RequestId): RequestReport {
    const known = this.find(id);
    if (known) {
      known.cancel();
      return known.buildReport();
    }
    const { clock } = this.#options;
    const error = new SchedulerError(ErrorKind.Cancelled);
    const record = this.#ledger.voidId(id, error, clock.wallMs());
    const request = this.#addRequest(record);
    return request.buildReport();
  }

  /** Fails all unfinished requests with their true run outcome. @param error - the reason */
  failAll(error: SchedulerError): void {
    this.#ledger.listOpen().forEach((record) => this.#requests.get(record.id.nonce)?.fail(error));
  }

  /** Refuses the queued requests of a quarantined content; running ones may still be answered. */
  #refuseQuarantined(contentId: string): void {
    const waiting = this.#ledger
      .listOpen()
      .filter(({ isHandedOver }) => !isHandedOver)
      .flatMap(({ id }) => this.#requests.get(id.nonce) ?? [])
      .filter((request) => request.contentId === contentId);
    const refusal = this.#options.crashes.findRefusal(contentId);
    if (refusal) waiting.forEach((request) => request.stop(refusal));
  }

  /** Registers a request. Without a call, its ID was cancelled unused and its record is final. */
  #addRequest(record: RequestRecord, call?: OwnedCall): OwnedRequest {
    const request = new OwnedRequest({
      record,
      answer: new AnswerBuffer(MAX_BUFFERED_BYTES),
      contentId: call ? formatContentId(hashCall(call)) : '',
      clock: this.#options.clock,
      reconnectGraceMs: call?.mayReconnect ? RECONNECT_GRACE_MS : 0,
      mustRunToCompletion: call !== undefined && !call.work.repeatable,
    });
    if (record.error) request.answer.close(record.error);
    this.#requests.set(record.id.nonce, request);
    return request;
  }

  #checkCapacity(): void {
    if (this.#ledger.size < this.#options.maxRecords) return;
    throw new SchedulerError(ErrorKind.TooManyConnections, {
      message: `Cannot accept the call: ${this.#options.maxRecords} requests are already recorded`,
    });
  }

  #startRequest(request: OwnedRequest, call: OwnedCall): void {
    const span = this.#options.tracer.startSpan(Hop.Owner, call.traceparent);
    const startedAtMs = this.#options.clock.nowMs();
    this.#runningCount += 1;
    const headTimeout = this.#startHeadTimeout(request, call);
    startProcess(() =>
      runRequest(this.#context, request, { ...call, traceparent: span.traceparent }),
    )
      .catch((error: unknown) => {
        request.fail(new SchedulerError(ErrorKind.Internal, { cause: error }));
      })
      .finally(() => {
        headTimeout.cancel();
        this.#runningCount -= 1;
        this.#idle.notify();
        this.#store.add(request.answer);
        span.end(request.record.error?.kind);
        recordRequestEnd(this.#options, request, call, startedAtMs);
      });
  }

  /**
   * Stops a request whose answer head has not arrived within the account's longest
   * deadline. A backend server that accepted the body and then stalled would otherwise
   * hold its slot forever and block every planned stop.
   */
  #startHeadTimeout(request: OwnedRequest, call: OwnedCall): Timer {
    return this.#options.clock.setTimer(call.account.longestDeadlineMs, () => {
      if (request.answer.head) return;
      request.stop(
        new SchedulerError(ErrorKind.BackendServerLost, {
          message: `Cannot get an answer within ${call.account.longestDeadlineMs} ms`,
        }),
      );
    });
  }

  /**
   * Waits for the head of the answer, at most until the deadline. A request that may be
   * repeated, or whose body has not been sent, is then stopped. Any other request
   * continues, and its answer can be read later.
   */
  async #waitForHead(request: OwnedRequest, call: OwnedCall): Promise<AnswerHead> {
    let timer: Timer | undefined;
    const deadline = new Promise<undefined>((resolve) => {
      timer = this.#options.clock.setTimer(call.deadlineMs, () => resolve(undefined));
    });
    const arrival = request.answer.waitForHead().finally(() => timer?.cancel());
    const head = await Promise.race([arrival, deadline]);
    if (head) return head;
    const error = new SchedulerError(ErrorKind.DeadlineExpired, {
      message: `Cannot answer within ${call.deadlineMs} ms`,
      requestId: request.record.id.text,
    });
    if (call.work.repeatable || !request.record.isHandedOver) {
      request.stop(error);
      throw request.record.error ?? error;
    }
    throw new SchedulerError(ErrorKind.DeadlineExpired, {
      message: `${error.message}; the request continues, and its answer can be read later`,
      run: request.record.run,
      requestId: request.record.id.text,
    });
  }

  #prune(): void {
    this.#store.prune();
    this.#ledger.prune(this.#options.clock.wallMs()).forEach((record) => {
      this.#requests.delete(record.id.nonce);
    });
  }
}
