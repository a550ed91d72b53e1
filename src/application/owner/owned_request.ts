/**
 * A request at its owner, from its acceptance until its record expires.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { RequestState } from '../../domain/requests/mod.js';
import type { RequestRecord } from '../../domain/requests/mod.js';
import type { Clock, Timer } from '../../ports/mod.js';
import type { RequestReport } from '../views/mod.js';
import type { AnswerBuffer } from './answer_buffer.js';

/** Options of an owned request. */
export interface OwnedRequestOptions {
  readonly record: RequestRecord;
  readonly answer: AnswerBuffer;
  /** Hash-based ID of the content, equal for all repeats. Empty if the ID was cancelled unused. */
  readonly contentId: string;
  readonly clock: Clock;
  /** Time for which it keeps running after its last caller disconnects, in milliseconds. */
  readonly reconnectGraceMs: number;
  /** Whether it keeps running without any caller once its body has been sent. */
  readonly mustRunToCompletion: boolean;
}

/** A request's record, its answer, and the callers that wait for it. */
export class OwnedRequest {
  readonly record: RequestRecord;

  readonly answer: AnswerBuffer;

  readonly #options: OwnedRequestOptions;

  readonly #controller = new AbortController();

  #callerCount = 0;

  #reconnectTimer: Timer | undefined;

  /** ID of the backend server to which it was dispatched, once it was. */
  backendServerId: string | undefined;

  /** ID of its stream at that backend server, once known. */
  streamId: string | undefined;

  /** @param options - options of the request */
  constructor(options: OwnedRequestOptions) {
    this.#options = options;
    this.record = options.record;
    this.answer = options.answer;
  }

  /** Hash-based ID of the content, equal for all repeats; empty without a call. */
  get contentId(): string {
    return this.#options.contentId;
  }

  /** Aborted when the request is cancelled or stopped. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether the request has not been cancelled or stopped. */
  get isWanted(): boolean {
    return !this.#controller.signal.aborted;
  }

  /**
   * Adds a caller. When the last caller has been disconnected for the reconnect grace
   * period, the request is cancelled, since nobody would receive its answer.
   *
   * @param disconnectSignal - aborted when the caller disconnects
   */
  addCaller(disconnectSignal: AbortSignal): void {
    this.#callerCount += 1;
    this.#reconnectTimer?.cancel();
    this.#reconnectTimer = undefined;
    if (disconnectSignal.aborted) this.#removeCaller();
    else disconnectSignal.addEventListener('abort', () => this.#removeCaller(), { once: true });
  }

  /** Cancels the request; one whose body has been sent ends when its attempt ends. */
  cancel(): void {
    this.#controller.abort();
    if (!this.record.isHandedOver) this.fail(new SchedulerError(ErrorKind.Cancelled));
  }

  /**
   * Fails the request and aborts its signal. If it is running at a backend server, the
   * attempt that reads its answer cancels it there.
   *
   * @param error - the reason
   */
  stop(error: SchedulerError): void {
    this.fail(error);
    this.#controller.abort();
  }

  /**
   * Ends the request without a complete answer, in its record and for all readers.
   *
   * @param error - the reason
   */
  fail(error: SchedulerError): void {
    const recordedError = this.record.endWithError(error);
    this.answer.close(recordedError);
  }

  /** @returns the state as it is reported to callers */
  buildReport(): RequestReport {
    const { record } = this;
    return {
      id: record.id.text,
      state: record.state,
      run: record.isFinal ? record.run : RunOutcome.MayHaveRun,
      answerBytes: this.answer.length,
      code: record.error?.kind,
      backendServer: this.backendServerId,
      streamId: this.streamId,
    };
  }

  #removeCaller(): void {
    this.#callerCount -= 1;
    if (this.#callerCount > 0 || this.record.isFinal) return;
    if (this.#options.reconnectGraceMs === 0) {
      this.#cancelIfUnwanted();
      return;
    }
    this.#reconnectTimer = this.#options.clock.setTimer(this.#options.reconnectGraceMs, () =>
      this.#cancelIfUnwanted(),
    );
  }

  #cancelIfUnwanted(): void {
    if (this.record.isFinal || this.#callerCount > 0) return;
    if (this.record.isHandedOver && this.#options.mustRunToCompletion) return;
    this.cancel();
  }
}

/**
 * Builds the report of an ID that was assigned and has not been used. A copy of its
 * call may still be in transit, so the report never says `not_run`. A caller that
 * needs certainty cancels the ID, after which no call can use it.
 *
 * @param id - the ID
 * @returns the report
 */
export function buildUnusedReport(id: string): RequestReport {
  return {
    id,
    state: RequestState.Assigned,
    run: RunOutcome.MayHaveRun,
    answerBytes: 0,
    code: undefined,
    backendServer: undefined,
    streamId: undefined,
  };
}
