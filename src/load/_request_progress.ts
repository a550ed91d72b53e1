/**
 * Tracks one request of the load tool from its arrival to its outcome.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerScanner } from './_answer_scanner.js';
import type { Arrival } from './arrivals.js';
import type { ExchangeResult } from './_exchange.js';
import { buildPrompt, deriveMark } from './_prompt.js';
import { OutcomeKind } from './outcome.js';
import type { RequestOutcome } from './outcome.js';

/** Options of {@link RequestProgress}. */
export interface RequestProgressOptions {
  readonly arrival: Arrival;
  /** Scheduled time of the arrival on the monotonic clock, in milliseconds. */
  readonly startedAtMs: number;
  /** Aborted when the caller stops waiting. */
  readonly signal: AbortSignal;
  /** Entry host URLs in the order of trial. */
  readonly urls: readonly string[];
  /** Whether each token of an answer must carry the mark of its prompt. */
  readonly checksAnswers: boolean;
}

/** State of one request: its IDs, attempts and answer so far; builds its calls and its outcome. */
export class RequestProgress {
  readonly arrival: Arrival;

  readonly signal: AbortSignal;

  readonly requestIds: string[] = [];

  /** The ID to send under; undefined as long as none is known. */
  requestId: string | undefined;

  urls: readonly string[];

  attempts = 0;

  resumptions = 0;

  /** Scanner of the answer; undefined until the head arrives. */
  scanner: AnswerScanner | undefined;

  readonly #startedAtMs: number;

  #firstByteMs: number | undefined;

  readonly #mark: string | undefined;

  #resumeHints: Record<string, string> = {};

  /** @param options - the request and the limits of its caller */
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

  /** Records the time of the answer's first byte; later calls have no effect. */
  recordFirstByte(): void {
    this.#firstByteMs ??= this.getElapsedMs();
  }

  /** Counts one attempt, which may be a resumption. */
  recordAttempt(): void {
    this.attempts += 1;
  }

  /** Counts one resumption of the answer. */
  recordResumption(): void {
    this.resumptions += 1;
  }

  /** @param id - the ID to send under. @param urls - entry host URLs in the order of trial */
  setAssignment(id: string, urls: readonly string[]): void {
    this.requestId = id;
    this.requestIds.push(id);
    this.urls = urls;
  }

  /**
   * Records the head of the answer.
   *
   * @param headers - headers with the request ID and the hints for a resumption
   * @param scanner - scanner of the answer's body
   */
  recordHead(headers: IncomingHttpHeaders, scanner: AnswerScanner): void {
    this.scanner = scanner;
    const id = headers['request-id'];
    if (typeof id === 'string' && !this.requestIds.includes(id)) this.requestIds.push(id);
    if (typeof id === 'string') this.requestId = id;
    const backendServer = headers['backend-server'];
    if (typeof backendServer === 'string') this.#resumeHints.backendServer = backendServer;
    const streamId = headers['stream-id'];
    if (typeof streamId === 'string') this.#resumeHints.streamId = streamId;
  }

  /** Discards the ID and the answer. Only for requests without an ID, which may run again. */
  reset(): void {
    this.requestId = undefined;
    this.scanner = undefined;
    this.#resumeHints = {};
  }

  /** @returns path and query that resume the answer where it broke off */
  buildResumePath(): string {
    const query = new URLSearchParams({
      offset: String(this.scanner?.bytes ?? 0),
      ...this.#resumeHints,
    });
    return `/v1/requests/${encodeURIComponent(this.requestId ?? '')}?${query.toString()}`;
  }

  /** @returns the path of the call */
  buildPath(): string {
    const { work } = this.arrival;
    return work.model === undefined
      ? `/v1/services/${work.service}${work.path}`
      : '/v1/chat/completions';
  }

  /** @returns the HTTP method of the call */
  getMethod(): string {
    return this.arrival.work.model === undefined ? this.arrival.work.method : 'POST';
  }

  /** @returns the body of the call; undefined for a GET call */
  buildBody(): string | undefined {
    const { work } = this.arrival;
    if (work.model === undefined) {
      return work.method === 'GET' ? undefined : JSON.stringify({ case: this.arrival.index });
    }
    return JSON.stringify({
      model: work.model,
      stream: work.stream,
      max_tokens: work.outputTokens[1],
      // Only stand-in engines read this: a scheduler can't know the output length in advance.
      metadata: { output_tokens: String(this.arrival.outputTokens) },
      messages: [{ role: 'user', content: buildPrompt(this.arrival) }],
    });
  }

  /** @returns the headers of the call */
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

  /** @returns the mark that each token must carry; undefined when answers are not checked */
  getMark(): string | undefined {
    return this.#mark;
  }

  /** @param url - entry host that answered. @returns the outcome of a complete answer */
  buildAnsweredOutcome(url: string): RequestOutcome {
    const isExpected = this.scanner?.isExpectedAnswer(this.arrival.outputTokens) ?? true;
    const kind = isExpected ? OutcomeKind.Answered : OutcomeKind.Wrong;
    return this.#buildOutcome({ kind, url, status: 200 });
  }

  /** @param result - the refusal. @param url - entry host that refused. @returns the outcome */
  buildRefusedOutcome(result: ExchangeResult, url: string): RequestOutcome {
    const error = result.error ?? result.scanner?.streamError;
    const { status } = result;
    return this.#buildOutcome({
      kind: OutcomeKind.Refused,
      url,
      status,
      code: error?.code,
      run: error?.run,
    });
  }

  /** @param code - why it was lost. @param url - last entry host tried. @returns the outcome */
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
      outputTokens: this.scanner?.outputTokens ?? 0,
      attempts: this.attempts,
      resumptions: this.resumptions,
    };
  }
}
