/**
 * Sends a call, with retries, until the head of its answer arrives.
 *
 * @module
 */
import type { Assignment } from '../application/views/mod.js';
import { RunOutcome } from '../domain/errors/mod.js';
import { buildAuthorization, MAX_ATTEMPTS, waitBeforeRetry } from './_call_context.js';
import type { CallContext } from './_call_context.js';
import { Exchange, ExchangeError } from './_exchange.js';
import {
  isFromListener,
  isFromOwner,
  isOwnerUnreachable,
  isRetryableElsewhere,
  openAnswer,
} from './_refusal.js';
import type { OpenedAnswer, Refusal } from './_refusal.js';
import { waitWithSilenceCheck } from './_silence_check.js';
import { CallerError, LocalErrorCode } from './caller_error.js';
import type { CallerRequest } from './caller_request.js';

/** A call whose answer's head has arrived, with the connection that carries the answer. */
export interface SubmittedCall {
  readonly answer: OpenedAnswer;
  readonly exchange: Exchange;
  readonly url: string;
}

/** No byte of the call was sent, so the call may be sent under a new ID without running twice. */
export class NeverSentError extends Error {
  override readonly name = 'NeverSentError';
}

/** @param request - the call. @returns the body of the call as bytes */
function encodeBody({ body }: CallerRequest): Uint8Array | undefined {
  return typeof body === 'string' ? Buffer.from(body) : body;
}

function buildHeaders(context: CallContext, requestId: string, request: CallerRequest) {
  const headers: Record<string, string> = {
    ...(request.body === undefined ? {} : { 'content-type': 'application/json' }),
    ...request.headers,
    ...buildAuthorization(context.apiKey),
    'request-id': requestId,
  };
  if (request.workKind !== undefined) headers['work-kind'] = request.workKind;
  if (request.deadlineMs !== undefined) headers['request-deadline-ms'] = String(request.deadlineMs);
  if (request.traceparent !== undefined) headers.traceparent = request.traceparent;
  return headers;
}

/**
 * Sends one call under one request ID. When a connection breaks, copies of the call go through
 * other entry hosts. All copies reach the one owner that the ID names; the owner runs the first
 * copy and gives every copy the same answer.
 */
export class Submission {
  readonly #context: CallContext;

  readonly #assignment: Assignment;

  readonly #request: CallerRequest;

  readonly #body: Uint8Array | undefined;

  #mayHaveBeenSent = false;

  /**
   * @param context - shared by the client's calls
   * @param assignment - the request ID and the entry hosts to use
   * @param request - the call
   */
  constructor(context: CallContext, assignment: Assignment, request: CallerRequest) {
    this.#context = context;
    this.#assignment = assignment;
    this.#request = request;
    this.#body = encodeBody(request);
  }

  /**
   * Sends the call until an answer's head arrives or the attempts are used up.
   *
   * @returns the call with the head of its answer
   * @throws NeverSentError when no byte of the call was sent
   * @throws CallerError when the call is refused or its outcome is unknown
   */
  async run(): Promise<SubmittedCall> {
    let lastError: Error = new NeverSentError('no URL is known');
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const urls = this.#context.addresses.list(this.#assignment.entryHost.url);
      const url = urls[0] ?? this.#assignment.entryHost.url;
      if (attempt > 0) await waitBeforeRetry(this.#context.clock, attempt - 1);
      try {
        return await this.#sendTo(url);
      } catch (error) {
        this.#request.signal?.throwIfAborted();
        if (!(error instanceof ExchangeError) && !isRetryable(error)) throw error;
        if (error instanceof ExchangeError && error.mayHaveBeenSent) this.#mayHaveBeenSent = true;
        this.#context.addresses.recordFailure(url);
        lastError = error;
        if (!this.#mayHaveBeenSent && error instanceof ExchangeError)
          throw new NeverSentError(error.message, { cause: error });
      }
    }
    throw this.#buildLostError(lastError);
  }

  async #sendTo(url: string): Promise<SubmittedCall> {
    const { id } = this.#assignment;
    const { method, path, signal } = this.#request;
    const exchange = new Exchange(
      {
        url: `${url}${path}`,
        method,
        headers: buildHeaders(this.#context, id, this.#request),
        body: this.#body,
        signal,
      },
      this.#context.agents,
      this.#context.clock,
    );
    try {
      const progress = { requestId: id, offset: 0, signal };
      const head = await waitWithSilenceCheck(this.#context, exchange.head, progress);
      const answer = await openAnswer(head).catch((error: unknown) => {
        throw new ExchangeError(true, `The answer broke off: ${String(error)}`, { cause: error });
      });
      if (answer.refusal) throw this.#buildRefusalError(answer.refusal, head.statusCode);
      return { answer, exchange, url };
    } catch (error) {
      exchange.close();
      throw error;
    }
  }

  #buildRefusalError(refusal: Refusal, status: number | undefined): CallerError {
    const { code, message, retryAfterMs } = refusal;
    const run = this.#computeRunOutcome(refusal);
    if (isOwnerUnreachable(code)) this.#mayHaveBeenSent = true;
    return new CallerError(run, message, {
      code,
      retryAfterMs,
      status,
      requestId: this.#assignment.id,
    });
  }

  /**
   * Corrects the run outcome in a refusal by what this client knows of other copies of the call.
   * When an earlier copy may have reached the owner, "not run" from another entry host only means
   * that this entry host forwarded nothing; a caller that relied on it would send the work again
   * under a new ID and run it twice. Conversely, a listener that refuses a call by its own checks
   * answers "may have run" because it can't know of other copies; when the client knows that this
   * was the only copy, the call has not run.
   */
  #computeRunOutcome({ code, run }: Refusal): RunOutcome {
    if (this.#mayHaveBeenSent && run === RunOutcome.NotRun && !isFromOwner(code))
      return RunOutcome.MayHaveRun;
    const isOnlyCopy = !this.#mayHaveBeenSent && this.#request.idempotencyKey === undefined;
    if (isOnlyCopy && run === RunOutcome.MayHaveRun && isFromListener(code))
      return RunOutcome.NotRun;
    return run;
  }

  #buildLostError(lastError: Error): CallerError {
    if (lastError instanceof CallerError) return lastError;
    return new CallerError(
      RunOutcome.MayHaveRun,
      `The outcome of the call is unknown: ${lastError.message}`,
      { code: LocalErrorCode.ConnectionLost, requestId: this.#assignment.id, cause: lastError },
    );
  }
}

function isRetryable(error: unknown): error is CallerError {
  return error instanceof CallerError && isRetryableElsewhere(error.code);
}
