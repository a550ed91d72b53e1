/**
 * One attempt to dispatch an owned request with a granted slot.
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
import type { OwnedCall } from './owned_call.js';
import type { OwnedRequest } from './owned_request.js';

const CONTINUE_TIMEOUT_MS = 1000;
const MAX_RESUMES = 2;
/** Engines give a stream's head at once; a plain service gives it when its work is done. */
const HEAD_TIMEOUT_MS = 5000;
const STREAM_ID_HEADER = 'stream-id';

/** What an attempt needs. */
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
  /** Undefined when the answer is whole. */
  readonly error: SchedulerError | undefined;
  /** Whether the request was run to a good end, as far as the answer proves that. */
  readonly hasSucceeded: boolean;
  /** Whether the body never left, so that another attempt does no harm. */
  readonly mayRetry: boolean;
}

/** One attempt: hand-over, head, body, and the resumption of a broken stream. */
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

  /**
   * @param context - what it needs
   * @param request - the request, in state Dispatching
   * @param call - its call
   * @param slot - the slot to use
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

  /** Runs it inside a process. @returns how it ended */
  *run(): Step<AttemptResult> {
    const span = this.#context.tracer.startSpan(Hop.BackendServer, this.#call.traceparent);
    span.setAttributes({ backendServer: this.#slot.backendServer.id });
    const result = yield* this.#runHop(span.traceparent);
    span.end(result.error?.kind);
    return result;
  }

  *#runHop(traceparent: string): Step<AttemptResult> {
    const { answer } = this.#request;
    try {
      const backendAnswer = yield* this.#dispatchOrFind(traceparent);
      this.#openAnswer(backendAnswer);
      yield* this.#readBody(backendAnswer);
      this.#request.record.advance(RequestState.Answered);
      answer.close();
      return this.#buildResult(SlotOutcome.Answered, undefined);
    } catch (error) {
      if (!(error instanceof BackendCallError)) throw error;
      return this.#buildFailure(error);
    }
  }

  /**
   * Dispatches. When the connection is lost between the hand-over and the head,
   * an engine may have the stream all the same: it is looked for under the
   * request's own ID, so that its caller gets the answer.
   */
  *#dispatchOrFind(traceparent: string): Step<BackendAnswer> {
    try {
      return yield* settle(this.#dispatch(traceparent));
    } catch (error) {
      const isLost =
        error instanceof BackendCallError && error.stage === BackendCallStage.AfterHandOver;
      if (!isLost || !this.#request.isWanted || !this.#hasStreams) throw error;
      try {
        return yield* settle(this.#resume(this.#request.record.id.text));
      } catch {
        throw error;
      }
    }
  }

  get #hasStreams(): boolean {
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
      headTimeoutMs: this.#hasStreams ? HEAD_TIMEOUT_MS : undefined,
      mayHandOver: () => this.#mayHandOver(),
      onHandOver: () => this.#noteHandOver(),
      signal: this.#request.signal,
    });
  }

  /**
   * The last check before the body leaves. Between the grant and this moment
   * the process may have been frozen, the caller may have gone, the slot may
   * have been given to somebody else.
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

  #noteHandOver(): void {
    this.#handedOverAtMs = this.#context.clock.nowMs();
    this.#request.record.advance(RequestState.Dispatched);
    this.#request.backendServerId = this.#slot.backendServer.id;
  }

  #openAnswer(backendAnswer: BackendAnswer): void {
    this.#request.streamId = backendAnswer.streamId;
    this.#hasSucceeded = isSuccess(backendAnswer.status) && backendAnswer.isFramed;
    this.#meter = new OutputMeter(backendAnswer.headers['content-type']);
    this.#request.answer.open({
      status: backendAnswer.status,
      headers: {
        ...backendAnswer.headers,
        'request-id': this.#request.record.id.text,
        'backend-server': this.#slot.backendServer.id,
        ...(backendAnswer.streamId ? { [STREAM_ID_HEADER]: backendAnswer.streamId } : {}),
      },
    });
  }

  /** Reads the body to its end; a stream that breaks off is resumed, never started again. */
  *#readBody(first: BackendAnswer): Step<void> {
    let backendAnswer = first;
    for (let resumes = 0; ; resumes += 1) {
      try {
        yield* settle(this.#copyBody(backendAnswer));
        return;
      } catch (error) {
        const { streamId } = this.#request;
        if (!(error instanceof BackendCallError) || !streamId || resumes >= MAX_RESUMES)
          throw error;
        backendAnswer = yield* settle(this.#resume(streamId));
      }
    }
  }

  async #copyBody(backendAnswer: BackendAnswer): Promise<void> {
    const { answer } = this.#request;
    for await (const bytes of backendAnswer.body) {
      if (this.#firstByteMs === 0) this.#firstByteMs = this.#measureSinceHandOver();
      this.#meter.observe(bytes);
      answer.append(bytes);
      await answer.waitForRoom();
    }
  }

  #measureSinceHandOver(): number {
    return this.#handedOverAtMs === 0 ? 0 : this.#context.clock.nowMs() - this.#handedOverAtMs;
  }

  #buildFailure(error: BackendCallError): AttemptResult {
    if (!this.#request.record.hasLeft) return this.#buildNotHandedOver(error);
    if (!this.#request.isWanted) {
      this.#cancelStream();
      return this.#buildResult(
        SlotOutcome.Cancelled,
        new SchedulerError(
          this.#isLate() ? ErrorKind.DeadlineExpired : ErrorKind.CancelledAfterDispatch,
          {
            run: RunOutcome.MayHaveRun,
          },
        ),
      );
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
    // The slot or the process was too late: the backend server is not to blame.
    const isOwnFault = !this.#mayHandOver();
    return {
      use: this.#buildUse(isOwnFault ? SlotOutcome.Unused : SlotOutcome.Refused),
      error: new SchedulerError(ErrorKind.BackendServerRefused, {
        message: `Cannot dispatch to ${this.#slot.backendServer.id}: ${error.message}`,
        cause: error,
      }),
      hasSucceeded: false,
      mayRetry: true,
    };
  }

  #isLate(): boolean {
    return this.#context.clock.nowMs() >= this.#deadlineAtMs;
  }

  #cancelStream(): void {
    // Before the head came, the stream's name is not known; engines take the
    // request's own ID for it as well.
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
      totalMs: this.#measureSinceHandOver(),
      outputTokens: this.#meter.tokens,
    };
  }
}
