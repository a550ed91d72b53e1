/**
 * One attempt to run an owned request at a backend server with a granted slot.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { ServiceKind } from '../../domain/contracts/types.js';
import { RequestState } from '../../domain/requests/mod.js';
import type { RequestLedger } from '../../domain/requests/mod.js';
import { BackendCallError, BackendCallStage, Hop, SlotOutcome } from '../../ports/mod.js';
import type { BackendAnswer, BackendServerClient, Clock, Tracer } from '../../ports/mod.js';
import { settle } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';
import { isSuccess } from '../crashes/mod.js';
import type { MembershipView, Slot, SlotUse } from '../views/mod.js';
import { OutputMeter } from './_output_meter.js';
import { CheckedBody } from './checked_body.js';
import type { OwnedCall } from './owned_call.js';
import type { OwnedRequest } from './owned_request.js';

/** Time to wait for the 100 (Continue) before the connection is closed, in milliseconds. */
const CONTINUE_TIMEOUT_MS = 1000;
const MAX_RESUMPTIONS = 2;
/** For engines, which send the head at once; plain services send it when their work is done. */
const HEAD_TIMEOUT_MS = 5000;
const STREAM_ID_HEADER = 'stream-id';

/** Dependencies of an attempt. */
export interface AttemptContext {
  readonly clock: Clock;
  readonly tracer: Tracer;
  readonly ledger: RequestLedger;
  readonly membership: MembershipView;
  readonly backend: BackendServerClient;
}

/** How an attempt ended. */
export interface AttemptResult {
  readonly use: SlotUse;
  /** Undefined when the answer is complete. */
  readonly error: SchedulerError | undefined;
  /** Whether the answer proves success: a success status, and a body whose end is marked. */
  readonly hasSucceeded: boolean;
  /** Whether the body was never sent, so that another attempt can't run the request twice. */
  readonly mayRetry: boolean;
}

/** One attempt: hand-over of the body, response head, response body, and stream resumption. */
export class Attempt {
  readonly #context: AttemptContext;

  readonly #request: OwnedRequest;

  readonly #call: OwnedCall;

  readonly #slot: Slot;

  readonly #deadlineAtMs: number;

  #handedOverAtMs = 0;

  #firstByteMs = 0;

  #hasSucceeded = false;

  #meter = new OutputMeter(undefined);

  #checkedBody: CheckedBody | undefined;

  /**
   * @param context - dependencies of the attempt
   * @param request - the request, in state Dispatching
   * @param call - the request's call
   * @param slot - the granted slot
   * @param deadlineAtMs - the request's deadline, monotonic, in milliseconds
   */
  constructor(
    context: AttemptContext,
    request: OwnedRequest,
    call: OwnedCall,
    slot: Slot,
    deadlineAtMs: number,
  ) {
    this.#context = context;
    this.#request = request;
    this.#call = call;
    this.#slot = slot;
    this.#deadlineAtMs = deadlineAtMs;
  }

  /** Runs the attempt as a step of the request's process. @returns how it ended */
  *run(): Step<AttemptResult> {
    const span = this.#context.tracer.startSpan(Hop.BackendServer, this.#call.traceparent);
    span.setAttributes({ backendServer: this.#slot.backendServer.id });
    const result = yield* this.#dispatchAndRead(span.traceparent);
    span.end(result.error?.kind);
    return result;
  }

  *#dispatchAndRead(traceparent: string): Step<AttemptResult> {
    const { answer } = this.#request;
    try {
      const backendAnswer = yield* this.#dispatchOrRecover(traceparent);
      this.#openAnswer(backendAnswer);
      yield* this.#readBody(backendAnswer);
      this.#request.record.transitionTo(RequestState.Answered);
      answer.close();
      return this.#buildResult(SlotOutcome.Answered, undefined);
    } catch (error) {
      if (!(error instanceof BackendCallError)) throw error;
      return this.#buildFailure(error);
    }
  }

  /**
   * Dispatches the call. If the connection is lost between the hand-over and the
   * response head, an engine may still run the stream, which it also knows under the
   * request's ID. The attempt then tries to resume it, so that the caller gets the answer.
   */
  *#dispatchOrRecover(traceparent: string): Step<BackendAnswer> {
    try {
      return yield* settle(this.#dispatch(traceparent));
    } catch (error) {
      const mayHaveRun =
        error instanceof BackendCallError && error.stage === BackendCallStage.AfterHandOver;
      if (!mayHaveRun || !this.#request.isWanted || !this.#isModelCall) throw error;
      try {
        return yield* settle(this.#resume(this.#request.record.id.text));
      } catch {
        throw error;
      }
    }
  }

  get #isModelCall(): boolean {
    return this.#call.service.kind === ServiceKind.Model;
  }

  #resume(streamId: string): Promise<BackendAnswer> {
    return this.#context.backend.resume({
      backendServer: this.#slot.backendServer,
      streamId,
      offset: this.#request.answer.length,
      signal: this.#request.signal,
    });
  }

  #dispatch(traceparent: string): Promise<BackendAnswer> {
    const { backendServer } = this.#slot;
    return this.#context.backend.dispatch({
      backendServer,
      method: this.#call.method,
      path: this.#call.path,
      headers: {
        ...this.#call.headers,
        'request-id': this.#request.record.id.text,
        'client-account': this.#call.account.accountId,
        traceparent,
      },
      body: this.#call.body,
      honoursContinue: this.#call.service.honoursContinue,
      continueTimeoutMs: CONTINUE_TIMEOUT_MS,
      headTimeoutMs: this.#isModelCall ? HEAD_TIMEOUT_MS : undefined,
      mayHandOver: () => this.#mayHandOver(),
      onHandOver: () => this.#recordHandOver(),
      signal: this.#request.signal,
    });
  }

  /**
   * Checks, last before the body is sent, that the request may still run. Since the
   * grant the process may have been paused, the caller may have disconnected, and
   * the slot may have expired and been granted to another request.
   */
  #mayHandOver(): boolean {
    const { clock, membership, ledger } = this.#context;
    const nowMs = clock.nowMs();
    return (
      this.#request.isWanted &&
      membership.isFresh() &&
      nowMs < this.#slot.validUntilMs &&
      nowMs < this.#deadlineAtMs &&
      ledger.mayHandOver(this.#request.record, clock.wallMs())
    );
  }

  #recordHandOver(): void {
    this.#handedOverAtMs = this.#context.clock.nowMs();
    this.#request.record.transitionTo(RequestState.Dispatched);
    this.#request.backendServerId = this.#slot.backendServer.id;
  }

  #openAnswer(backendAnswer: BackendAnswer): void {
    const { id, softwareVersion } = this.#slot.backendServer;
    this.#request.streamId = backendAnswer.streamId;
    this.#hasSucceeded = isSuccess(backendAnswer.status) && backendAnswer.isFramed;
    this.#meter = new OutputMeter(backendAnswer.headers['content-type']);
    this.#request.answer.open({
      status: backendAnswer.status,
      isFramed: backendAnswer.isFramed,
      headers: {
        ...backendAnswer.headers,
        'request-id': this.#request.record.id.text,
        'backend-server': id,
        ...(backendAnswer.streamId ? { [STREAM_ID_HEADER]: backendAnswer.streamId } : {}),
        ...(softwareVersion && { 'backend-server-version': softwareVersion }),
      },
    });
  }

  /** Reads the response body to its end. A stream that breaks is resumed, never restarted. */
  *#readBody(first: BackendAnswer): Step<void> {
    let backendAnswer = first;
    for (let resumptions = 0; ; resumptions += 1) {
      try {
        yield* settle(this.#copyBody(backendAnswer));
        return;
      } catch (error) {
        const { streamId } = this.#request;
        if (!(error instanceof BackendCallError) || !streamId || resumptions >= MAX_RESUMPTIONS)
          throw error;
        backendAnswer = yield* settle(this.#resume(streamId));
      }
    }
  }

  async #copyBody(backendAnswer: BackendAnswer): Promise<void> {
    const { answer } = this.#request;
    this.#checkedBody ??= new CheckedBody(answer.head ?? backendAnswer);
    for await (const bytes of this.#checkedBody.read(backendAnswer)) {
      if (this.#firstByteMs === 0) this.#firstByteMs = this.#computeMsSinceHandOver();
      this.#meter.observe(bytes);
      answer.append(bytes);
      await answer.waitForCapacity();
    }
  }

  #computeMsSinceHandOver(): number {
    return this.#handedOverAtMs === 0 ? 0 : this.#context.clock.nowMs() - this.#handedOverAtMs;
  }

  #buildFailure(error: BackendCallError): AttemptResult {
    if (!this.#request.record.isHandedOver) return this.#buildNotHandedOver(error);
    if (!this.#request.isWanted) {
      this.#cancelStream();
      const { DeadlineExpired, CancelledAfterDispatch } = ErrorKind;
      const kind = this.#isPastDeadline() ? DeadlineExpired : CancelledAfterDispatch;
      const cancelled = new SchedulerError(kind, { run: RunOutcome.MayHaveRun });
      return this.#buildResult(SlotOutcome.Cancelled, cancelled);
    }
    const wasAnswering = this.#request.answer.head !== undefined;
    return this.#buildResult(
      SlotOutcome.Failed,
      new SchedulerError(wasAnswering ? ErrorKind.AnswerCut : ErrorKind.BackendServerLost, {
        message: `Cannot read the whole answer of ${this.#slot.backendServer.id}: ${error.message}`,
        cause: error,
      }),
    );
  }

  #buildNotHandedOver(error: BackendCallError): AttemptResult {
    // When the owner itself may no longer hand over, the backend server is not at fault.
    const isOwnerFault = !this.#mayHandOver();
    return {
      use: this.#buildUse(isOwnerFault ? SlotOutcome.Unused : SlotOutcome.Refused),
      error: new SchedulerError(ErrorKind.BackendServerRefused, {
        message: `Cannot dispatch to ${this.#slot.backendServer.id}: ${error.message}`,
        cause: error,
      }),
      hasSucceeded: false,
      mayRetry: true,
    };
  }

  #isPastDeadline(): boolean {
    return this.#context.clock.nowMs() >= this.#deadlineAtMs;
  }

  #cancelStream(): void {
    // Before the response head arrives, the stream ID is unknown. Engines accept the
    // request's ID in its place.
    const streamId = this.#request.streamId ?? this.#request.record.id.text;
    this.#context.backend.cancel(this.#slot.backendServer, streamId).catch(() => undefined);
  }

  #buildResult(outcome: SlotOutcome, error: SchedulerError | undefined): AttemptResult {
    const hasSucceeded = error === undefined && this.#hasSucceeded;
    return { use: this.#buildUse(outcome), error, hasSucceeded, mayRetry: false };
  }

  #buildUse(outcome: SlotOutcome): SlotUse {
    return {
      outcome,
      firstByteMs: this.#firstByteMs,
      totalMs: this.#computeMsSinceHandOver(),
      outputTokens: this.#meter.tokens,
    };
  }
}
