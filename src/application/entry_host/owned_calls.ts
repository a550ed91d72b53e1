/**
 * Calls with request IDs that this entry host owns, whoever brought them.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import type { OwnedCall, OwnerService } from '../owner/mod.js';
import type { CallerAnswer, ConfigurationView, MembershipView, ReadOptions } from '../views/mod.js';
import { resolveCall } from './_call_resolver.js';
import type { CallQuestion } from './_call_resolver.js';

/** Options of {@link OwnedCalls}. */
export interface OwnedCallsOptions {
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly owner: OwnerService;
}

/** Resolves calls and answers them from the owner's service. */
export class OwnedCalls {
  readonly #options: OwnedCallsOptions;

  /** @param options - what it needs */
  constructor(options: OwnedCallsOptions) {
    this.#options = options;
  }

  /**
   * @param id - a request ID
   * @returns whether this very process owns it
   */
  isOwn(id: RequestId): boolean {
    return id.incarnation === this.#options.membership.self.incarnation;
  }

  /**
   * Resolves a call that came without an ID.
   *
   * @param question - the call
   * @returns the call as its owner runs it
   * @throws SchedulerError where the contract does not allow it
   */
  resolve(question: Omit<CallQuestion, 'canComeBack'>): OwnedCall {
    return resolveCall(this.#options.configuration, { ...question, canComeBack: false });
  }

  /**
   * Resolves a call that came with an ID.
   *
   * @param question - the call
   * @param id - its ID
   * @returns the call as its owner runs it
   * @throws SchedulerError where the contract does not allow it
   */
  resolveForId(question: Omit<CallQuestion, 'canComeBack'>, id: RequestId): OwnedCall {
    try {
      return resolveCall(this.#options.configuration, { ...question, canComeBack: true });
    } catch (error) {
      throw error instanceof SchedulerError ? this.correctRun(id, error) : error;
    }
  }

  /**
   * Corrects a refusal made before the owner looked at the ID. Another copy of
   * the call may run meanwhile, since the contract may have changed between the
   * two; then the refusal must not say `not_run`.
   *
   * @param id - the call's ID
   * @param error - the refusal
   * @returns the refusal as it may be told
   */
  correctRun(id: RequestId, error: SchedulerError): SchedulerError {
    if (this.isOwn(id) && !this.#options.owner.find(id)) return error;
    return new SchedulerError(error.kind, {
      message: error.message,
      retryAfterMs: error.retryAfterMs,
      run: RunOutcome.MayHaveRun,
      requestId: id.text,
      cause: error,
    });
  }

  /**
   * Runs a call, or gives the answer of its first copy.
   *
   * @param id - the call's ID
   * @param call - the call
   * @param callerGone - aborted when the caller's connection is gone
   * @returns the answer, head first
   * @throws SchedulerError when it is refused or fails
   */
  async submit(id: RequestId, call: OwnedCall, callerGone: AbortSignal): Promise<CallerAnswer> {
    const { head, request } = await this.#options.owner.submit(id, call, callerGone);
    return { ...head, requestId: id.text, body: request.answer.read(0) };
  }

  /**
   * Gives the rest of an answer.
   *
   * @param id - the request's ID
   * @param options - where to go on
   * @returns the rest, head first
   * @throws SchedulerError when there is no such answer
   */
  async read(
    id: RequestId,
    options: Pick<ReadOptions, 'offset' | 'callerGone'>,
  ): Promise<CallerAnswer> {
    const request = this.#options.owner.find(id);
    if (!request) {
      throw new SchedulerError(ErrorKind.NotFound, {
        message: 'Cannot read an answer: no call came with this request ID so far',
        run: RunOutcome.MayHaveRun,
        requestId: id.text,
      });
    }
    request.addCaller(options.callerGone);
    const head = await request.answer.waitForHead();
    return { ...head, requestId: id.text, body: request.answer.read(options.offset) };
  }
}
