/**
 * State and outcome of one request at its owner.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../errors/mod.js';
import { RequestState } from './request_state.js';
import type { RequestId } from './request_id.js';

/** Permitted next states of each state. */
const TRANSITIONS: Readonly<Record<RequestState, readonly RequestState[]>> = {
  [RequestState.Assigned]: [RequestState.Accepted, RequestState.Refused],
  [RequestState.Accepted]: [RequestState.Queued, RequestState.Refused],
  // If a backend server refuses before the hand-over of the body, the request returns to the
  // queue. The body has not left the owner, so the request can't have run.
  [RequestState.Queued]: [RequestState.Dispatching, RequestState.Refused],
  [RequestState.Dispatching]: [RequestState.Queued, RequestState.Dispatched, RequestState.Refused],
  [RequestState.Dispatched]: [RequestState.Answered, RequestState.Failed],
  [RequestState.Answered]: [],
  [RequestState.Refused]: [],
  [RequestState.Failed]: [],
};

/** A request with its one-way state and its error, if it was refused or failed. */
export class RequestRecord {
  readonly id: RequestId;

  /** Hash of the call, by which a second call with the same ID but other content is refused. */
  readonly fingerprint: string;

  #state = RequestState.Accepted;

  #error: SchedulerError | undefined;

  /**
   * @param id - the request's ID
   * @param fingerprint - hash of the call
   */
  constructor(id: RequestId, fingerprint: string) {
    this.id = id;
    this.fingerprint = fingerprint;
  }

  /** Current state. */
  get state(): RequestState {
    return this.#state;
  }

  /** Reason for which the request was refused or failed; undefined otherwise. */
  get error(): SchedulerError | undefined {
    return this.#error;
  }

  /** Whether the state is final. */
  get isFinal(): boolean {
    return TRANSITIONS[this.#state].length === 0;
  }

  /** Whether the body has been handed over to a backend server. */
  get isHandedOver(): boolean {
    return [RequestState.Dispatched, RequestState.Answered, RequestState.Failed].includes(
      this.#state,
    );
  }

  /**
   * Whether the request ran, as far as known now. Only a refused request can count as not run,
   * since any other may still run later.
   */
  get run(): RunOutcome {
    if (this.#state === RequestState.Answered) return RunOutcome.Ran;
    return this.#error?.run ?? RunOutcome.MayHaveRun;
  }

  /**
   * Moves to the next state.
   *
   * @param next - the next state
   * @throws SchedulerError of kind Internal if the transition is not permitted
   */
  transitionTo(next: RequestState): void {
    if (!TRANSITIONS[this.#state].includes(next)) {
      throw new SchedulerError(ErrorKind.Internal, {
        message: `Cannot move request from ${this.#state} to ${next}: transition not permitted`,
        requestId: this.id.text,
      });
    }
    this.#state = next;
  }

  /**
   * Ends the request without an answer. After the hand-over of the body the request fails
   * instead of being refused, and an error that states `not_run` is corrected, since a false
   * `not_run` makes the caller send the request again and the work is done twice.
   *
   * @param error - reason for the refusal or failure
   * @returns the error to send to the caller
   */
  endWithError(error: SchedulerError): SchedulerError {
    if (this.isFinal) return this.#error ?? error;
    const mustCorrect = this.isHandedOver && error.run === RunOutcome.NotRun;
    this.#error = new SchedulerError(error.kind, {
      message: error.message,
      retryAfterMs: error.retryAfterMs,
      run: mustCorrect ? RunOutcome.MayHaveRun : error.run,
      requestId: this.id.text,
      cause: error,
    });
    this.transitionTo(this.isHandedOver ? RequestState.Failed : RequestState.Refused);
    return this.#error;
  }
}
