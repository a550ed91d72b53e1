/**
 * One request as its owner knows it.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../errors/mod.js';
import { RequestState } from './request_state.js';
import type { RequestId } from './request_id.js';

/** The states that may follow each state. */
const TRANSITIONS: Readonly<Record<RequestState, readonly RequestState[]>> = {
  [RequestState.Assigned]: [RequestState.Accepted, RequestState.Refused],
  [RequestState.Accepted]: [RequestState.Queued, RequestState.Refused],
  // A backend server that refused before it had the body sends the request
  // back to the queue: nothing left the owner, so this is no step back past
  // the point of no return.
  [RequestState.Queued]: [RequestState.Dispatching, RequestState.Refused],
  [RequestState.Dispatching]: [RequestState.Queued, RequestState.Dispatched, RequestState.Refused],
  [RequestState.Dispatched]: [RequestState.Answered, RequestState.Failed],
  [RequestState.Answered]: [],
  [RequestState.Refused]: [],
  [RequestState.Failed]: [],
};

/** One request: its one-way state and what became of it. */
export class RequestRecord {
  readonly id: RequestId;

  /** Hash of the call, so that an ID can't be used for two calls. */
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

  /** Its state now. */
  get state(): RequestState {
    return this.#state;
  }

  /** Why it was refused or failed. */
  get error(): SchedulerError | undefined {
    return this.#error;
  }

  /** Whether nothing will change any more. */
  get isFinal(): boolean {
    return TRANSITIONS[this.#state].length === 0;
  }

  /** Whether its body has left for a backend server. */
  get hasLeft(): boolean {
    return [RequestState.Dispatched, RequestState.Answered, RequestState.Failed].includes(
      this.#state,
    );
  }

  /**
   * What can be said of its run now. Only a refused request is said not to
   * have run: any other may still run a moment later.
   */
  get run(): RunOutcome {
    if (this.#state === RequestState.Answered) return RunOutcome.Ran;
    return this.#error?.run ?? RunOutcome.MayHaveRun;
  }

  /**
   * Takes the next state.
   *
   * @param next - the state
   * @throws SchedulerError of kind Internal where it may not follow
   */
  advance(next: RequestState): void {
    if (!TRANSITIONS[this.#state].includes(next)) {
      throw new SchedulerError(ErrorKind.Internal, {
        message: `Cannot take request from ${this.#state} to ${next}: states move one way`,
        requestId: this.id.text,
      });
    }
    this.#state = next;
  }

  /**
   * Ends it without an answer. A body that has left makes it failed, never
   * refused; an error that says `not_run` is corrected then, since a false
   * `not_run` makes the caller send the work again and doubles it.
   *
   * @param error - why
   * @returns the error as it is to be told
   */
  refuse(error: SchedulerError): SchedulerError {
    if (this.isFinal) return this.#error ?? error;
    const mustCorrect = this.hasLeft && error.run === RunOutcome.NotRun;
    this.#error = new SchedulerError(error.kind, {
      message: error.message,
      retryAfterMs: error.retryAfterMs,
      run: mustCorrect ? RunOutcome.MayHaveRun : error.run,
      requestId: this.id.text,
      cause: error,
    });
    this.advance(this.hasLeft ? RequestState.Failed : RequestState.Refused);
    return this.#error;
  }
}
