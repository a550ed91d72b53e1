/**
 * One request of the load tool on its way from arrival to its end.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerScanner } from './_answer_scan.js';
import type { Arrival } from './arrivals.js';
import type { ExchangeResult } from './_exchange.js';
import { buildPrompt, deriveMark } from './_prompt.js';
import { OutcomeKind } from './outcome.js';
import type { RequestOutcome } from './outcome.js';

/** What of a journey does not change. */
export interface RequestProgressOptions {
  readonly arrival: Arrival;
  /** When it arrived, on the monotonic clock, in milliseconds. */
  readonly startedAtMs: number;
  /** Aborted when the caller gives up. */
  readonly signal: AbortSignal;
  /** Addresses to try, in order. */
  readonly urls: readonly string[];
  /** Whether answers must bear their prompts' marks. */
  readonly checksAnswers: boolean;
}

/** The state of one request on its way. */
export class RequestProgress {
  readonly arrival: Arrival;

  readonly signal: AbortSignal;

  readonly requestIds: string[] = [];

  /** The ID to send under; undefined for a bare request. */
  requestId: string | undefined;

  urls: readonly string[];

  attempts = 0;

  resumptions = 0;

  /** What has come of the answer, once its head was there. */
  scan: AnswerScanner | undefined;

  readonly #startedAtMs: number;

  #firstByteMs: number | undefined;

  readonly #mark: string | undefined;

  #resumeHints: Record<string, string> = {};

  /** @param options - what does not change */
  constructor(options: RequestProgressOptions) {
    this.arrival = options.arrival;
    this.signal = options.signal;
    this.urls = options.urls;
    this.#startedAtMs = options.startedAtMs;
    const isMarked = options.checksAnswers && this.arrival.work.model !== undefined;
    this.#mark = isMarked ? deriveMark(buildPrompt(this.arrival)) : undefined;
  }

  /** @returns time since the arrival, in milliseconds */
  getElapsedMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Notes the first byte of the answer, once. */
  recordFirstByte(): void {
    this.#firstByteMs ??= this.getElapsedMs();
  }

  /** Counts one call for this request. */
  recordAttempt(): void {
    this.attempts += 1;
  }

  /** Counts one resumption of the answer. */
  recordResumption(): void {
    this.resumptions += 1;
  }

  /** @param id - the ID to send under. @param urls - the addresses that take it, in order */
  setAssignment(id: string, urls: readonly string[]): void {
    this.requestId = id;
    this.requestIds.push(id);
    this.urls = urls;
  }

  /**
   * @param headers - head of the answer, with the ID and the hints for a resumption
   * @param scan - looks through the answer's body
   */
  recordHead(headers: IncomingHttpHeaders, scan: AnswerScanner): void {
    this.scan = scan;
    const id = headers['request-id'];
    if (typeof id === 'string' && !this.requestIds.includes(id)) this.requestIds.push(id);
    if (typeof id === 'string') this.requestId = id;
    const backendServer = headers['backend-server'];
    if (typeof backendServer === 'string') this.#resumeHints.backendServer = backendServer;
    const streamId = headers['stream-id'];
    if (typeof streamId === 'string') this.#resumeHints.streamId = streamId;
  }

  /** Starts again under no ID: only for a bare request, which may be repeated. */
  reset(): void {
    this.requestId = undefined;
    this.scan = undefined;
    this.#resumeHints = {};
  }

  /** @returns path and query that take the answer up where it broke off */
  buildResumePath(): string {
    const query = new URLSearchParams({
      offset: String(this.scan?.bytes ?? 0),
      ...this.#resumeHints,
    });
    return `/v1/requests/${encodeURIComponent(this.requestId ?? '')}?${query.toString()}`;
  }

  /** @returns path of the call itself */
  buildPath(): string {
    const { work } = this.arrival;
    return work.model === undefined
      ? `/v1/services/${work.service}${work.path}`
      : '/v1/chat/completions';
  }

  /** @returns method of the call itself */
  getMethod(): string {
    return this.arrival.work.model === undefined ? this.arrival.work.method : 'POST';
  }

  /** @returns body of the call; undefined for a method that carries none */
  buildBody(): string | undefined {
    const { work } = this.arrival;
    if (work.model === undefined) {
      return work.method === 'GET' ? undefined : JSON.stringify({ case: this.arrival.index });
    }
    return JSON.stringify({
      model: work.model,
      stream: work.stream,
      max_tokens: work.outputTokens[1],
      // Read by the stand-in engines alone: no scheduler may know a length before it comes.
      metadata: { output_tokens: String(this.arrival.outputTokens) },
      messages: [{ role: 'user', content: buildPrompt(this.arrival) }],
    });
  }

  /** @returns headers of the call itself */
  buildHeaders(): Record<string, string> {
    const { work, account } = this.arrival;
    const remainingMs = Math.max(1, Math.floor(work.deadlineMs - this.getElapsedMs()));
    return {
      authorization: `Bearer ${account.apiKey}`,
      'request-deadline-ms': String(remainingMs),
      ...(work.workKind === undefined ? {} : { 'work-kind': work.workKind }),
      ...(this.requestId === undefined ? {} : { 'request-id': this.requestId }),
      ...(this.getMethod() === 'GET' ? {} : { 'content-type': 'application/json' }),
    };
  }

  /** @returns what each token of the answer must name, where answers are checked */
  getMark(): string | undefined {
    return this.#mark;
  }

  /** @param url - who answered. @returns the outcome of an answer that came to its end */
  buildAnsweredOutcome(url: string): RequestOutcome {
    const isExpected = this.scan?.isExpectedAnswer(this.arrival.outputTokens) ?? true;
    const kind = isExpected ? OutcomeKind.Answered : OutcomeKind.Wrong;
    return this.#buildOutcome({ kind, url, status: 200 });
  }

  /** @param result - the refusal. @param url - who refused. @returns the outcome */
  buildRefusedOutcome(result: ExchangeResult, url: string): RequestOutcome {
    const error = result.error ?? result.scan?.streamError;
    const { status } = result;
    return this.#buildOutcome({
      kind: OutcomeKind.Refused,
      url,
      status,
      code: error?.code,
      run: error?.run,
    });
  }

  /** @param code - why nothing final came. @param url - who was tried last. @returns the outcome */
  buildLostOutcome(code: string, url: string): RequestOutcome {
    return this.#buildOutcome({ kind: OutcomeKind.Lost, url, status: 0, code });
  }

  #buildOutcome(end: {
    readonly kind: OutcomeKind;
    readonly url: string;
    readonly status: number;
    readonly code?: string;
    readonly run?: string;
  }): RequestOutcome {
    return {
      arrival: this.arrival,
      kind: end.kind,
      url: end.url,
      status: end.status,
      code: end.code,
      run: end.run,
      requestIds: this.requestIds,
      firstByteMs: this.#firstByteMs,
      totalMs: this.getElapsedMs(),
      outputTokens: this.scan?.outputTokens ?? 0,
      attempts: this.attempts,
      resumptions: this.resumptions,
    };
  }
}
