/**
 * Reads the body of an answer and resumes it over a new connection when one breaks.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import { RunOutcome, formatReason } from '../domain/errors/mod.js';
import { buildAuthorization, MAX_ATTEMPTS, waitBeforeRetry } from './_call_context.js';
import type { CallContext } from './_call_context.js';
import { ErrorEvent, ErrorEventFilter } from './_error_event_filter.js';
import { Exchange, ExchangeError } from './_exchange.js';
import { isOwnerGone, isRetryableElsewhere, openAnswer } from './_refusal.js';
import type { Refusal } from './_refusal.js';
import { waitWithSilenceCheck } from './_silence_check.js';
import type { SubmittedCall } from './_submission.js';
import { CallerError, LocalErrorCode } from './caller_error.js';

const EVENT_STREAM = 'text/event-stream';

/** The connection from which the body is currently read. */
interface AnswerSource {
  readonly head: IncomingMessage;
  readonly exchange: Exchange;
  readonly url: string;
}

function getHeader(head: IncomingMessage, name: string): string | undefined {
  const value = head.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Reads the body of one answer, over one connection or several. */
export class AnswerBody {
  readonly #context: CallContext;

  readonly #requestId: string;

  readonly #signal: AbortSignal | undefined;

  readonly #submitted: SubmittedCall;

  #source: AnswerSource;

  #offset = 0;

  #resumes = 0;

  #attemptsWithoutProgress = 0;

  /**
   * @param context - shared by the client's calls
   * @param requestId - ID of the request, under which the answer is resumed
   * @param submitted - the call whose answer's head has arrived
   * @param signal - aborts reading
   */
  constructor(
    context: CallContext,
    requestId: string,
    submitted: SubmittedCall,
    signal: AbortSignal | undefined,
  ) {
    this.#context = context;
    this.#requestId = requestId;
    this.#signal = signal;
    this.#submitted = submitted;
    const { answer, exchange, url } = submitted;
    this.#source = { head: answer.head, exchange, url };
  }

  /** Number of times that the body was resumed over a new connection. */
  get resumes(): number {
    return this.#resumes;
  }

  /**
   * @returns the body's chunks in order, each byte exactly once
   * @throws CallerError when the body breaks off and can't be resumed
   */
  async *read(): AsyncGenerator<Uint8Array> {
    const { body } = this.#submitted.answer;
    if (body) {
      yield body;
      return;
    }
    try {
      for (;;) {
        try {
          yield* this.#readSource();
          return;
        } catch (error) {
          this.#signal?.throwIfAborted();
          await this.#resume(error);
        }
      }
    } finally {
      // The connection is reused after a complete answer and closed after an incomplete one.
      if (!this.#source.head.readableEnded) this.#source.exchange.close();
    }
  }

  async *#readSource(): AsyncGenerator<Uint8Array> {
    const { head } = this.#source;
    const eventFilter = getHeader(head, 'content-type')?.startsWith(EVENT_STREAM)
      ? new ErrorEventFilter()
      : undefined;
    const chunks = (head as AsyncIterable<Buffer>)[Symbol.asyncIterator]();
    for (;;) {
      const progress = { requestId: this.#requestId, offset: this.#offset, signal: this.#signal };
      const next = await waitWithSilenceCheck(this.#context, chunks.next(), progress);
      if (next.done) break;
      for (const chunk of eventFilter ? eventFilter.split(next.value) : [next.value])
        yield this.#recordProgress(chunk);
    }
    if (!head.complete) throw new ExchangeError(true, 'The answer ended before it was complete');
    const rest = eventFilter?.takeRest();
    if (rest && rest.length > 0) yield this.#recordProgress(rest);
  }

  #recordProgress(chunk: Uint8Array): Uint8Array {
    this.#offset += chunk.length;
    this.#attemptsWithoutProgress = 0;
    return chunk;
  }

  /** Resumes the body at the offset through some entry host. Never starts the work again. */
  async #resume(cause: unknown): Promise<void> {
    this.#source.exchange.close();
    if (cause instanceof ErrorEvent) this.#throwIfFinal(cause.refusal, cause);
    let lastError = cause;
    this.#context.addresses.recordFailure(this.#source.url);
    while (this.#attemptsWithoutProgress < MAX_ATTEMPTS) {
      if (this.#attemptsWithoutProgress > 0)
        await waitBeforeRetry(this.#context.clock, this.#attemptsWithoutProgress - 1);
      this.#attemptsWithoutProgress += 1;
      const url = this.#context.addresses.list()[0] ?? this.#source.url;
      try {
        this.#source = await this.#openAt(url);
        this.#resumes += 1;
        return;
      } catch (error) {
        this.#signal?.throwIfAborted();
        if (error instanceof CallerError) throw error;
        this.#context.addresses.recordFailure(url);
        lastError = error;
      }
    }
    throw this.#buildLostError(lastError);
  }

  async #openAt(url: string): Promise<AnswerSource> {
    const exchange = new Exchange(
      {
        url: `${url}${this.#buildPath()}`,
        method: 'GET',
        headers: buildAuthorization(this.#context.apiKey),
        signal: this.#signal,
      },
      this.#context.agents,
      this.#context.clock,
    );
    try {
      const progress = { requestId: this.#requestId, offset: this.#offset, signal: this.#signal };
      const head = await waitWithSilenceCheck(this.#context, exchange.head, progress);
      const { refusal } = await openAnswer(head);
      if (refusal) this.#throwIfFinal(refusal);
      if (refusal) throw new Error(refusal.message);
      return { head, exchange, url };
    } catch (error) {
      exchange.close();
      throw error;
    }
  }

  #buildPath(): string {
    const query = new URLSearchParams({ offset: String(this.#offset) });
    const { head } = this.#submitted.answer;
    const backendServer = getHeader(head, 'backend-server');
    const streamId = getHeader(head, 'stream-id');
    if (backendServer !== undefined) query.set('backendServer', backendServer);
    if (streamId !== undefined) query.set('streamId', streamId);
    const softwareVersion = getHeader(head, 'backend-server-version');
    if (softwareVersion !== undefined) query.set('softwareVersion', softwareVersion);
    return `/v1/requests/${encodeURIComponent(this.#requestId)}?${query}`;
  }

  /**
   * Throws unless another entry host may still have the rest of the answer. An owner that reports
   * the answer as cut is final; an entry host that can't reach the owner is not.
   */
  #throwIfFinal(refusal: Refusal, cause?: unknown): void {
    if (isRetryableElsewhere(refusal.code) || isOwnerGone(refusal.code)) return;
    const { code, message, retryAfterMs, run } = refusal;
    // A head from a backend server proves that the call ran, whatever the refusal says.
    const knownRun = run === RunOutcome.NotRun || this.#hasRun() ? RunOutcome.Ran : run;
    throw new CallerError(knownRun, message, {
      code,
      retryAfterMs,
      requestId: this.#requestId,
      cause,
    });
  }

  #hasRun(): boolean {
    return getHeader(this.#submitted.answer.head, 'backend-server') !== undefined;
  }

  #buildLostError(cause: unknown): CallerError {
    const reason = formatReason(cause);
    return new CallerError(
      this.#hasRun() ? RunOutcome.Ran : RunOutcome.MayHaveRun,
      `The answer broke off after ${this.#offset} bytes and can't be resumed: ${reason}`,
      { code: LocalErrorCode.AnswerLost, requestId: this.#requestId, cause },
    );
  }
}
