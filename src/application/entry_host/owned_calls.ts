/**
 * Resolves and answers calls whose requests this entry host owns, received from callers or peers.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import type { OwnedCall, OwnerService } from '../owner/mod.js';
import type { CallerAnswer, ConfigurationView, MembershipView, ReadOptions } from '../views/mod.js';
import { resolveCall } from './_call_resolver.js';
import type { ReceivedCall } from './_call_resolver.js';

/** Options of {@link OwnedCalls}. */
export interface OwnedCallsOptions {
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly owner: OwnerService;
}

/** Resolves calls and answers them through the {@link OwnerService}. */
export class OwnedCalls {
  readonly #options: OwnedCallsOptions;

  /** @param options - dependencies */
  constructor(options: OwnedCallsOptions) {
    this.#options = options;
  }

  /**
   * @param id - a request ID
   * @returns whether this incarnation of the entry host owns the request
   */
  isOwned(id: RequestId): boolean {
    return id.incarnation === this.#options.membership.self.incarnation;
  }

  /**
   * Resolves a call that came without a request ID.
   *
   * @param call - the call as received
   * @returns the resolved call, as its owner runs it
   * @throws SchedulerError when the service is unknown or the contract does not allow the call
   */
  resolve(call: Omit<ReceivedCall, 'mayReconnect'>): OwnedCall {
    return resolveCall(this.#options.configuration, { ...call, mayReconnect: false });
  }

  /**
   * Resolves a call that came with a request ID.
   *
   * @param call - the call as received
   * @param id - the call's request ID
   * @returns the resolved call, as its owner runs it
   * @throws SchedulerError when the service is unknown or the contract does not allow the call
   */
  resolveForId(call: Omit<ReceivedCall, 'mayReconnect'>, id: RequestId): OwnedCall {
    try {
      return resolveCall(this.#options.configuration, { ...call, mayReconnect: true });
    } catch (error) {
      throw error instanceof SchedulerError ? this.correctRunOutcome(id, error) : error;
    }
  }

  /**
   * Corrects the run outcome of a refusal made before the owner looked up the request ID. An
   * earlier copy of the call may be running, since the contract may have changed between the
   * two; then the refusal must not say `not_run`.
   *
   * @param id - the call's request ID
   * @param error - the refusal
   * @returns the refusal with a truthful run outcome
   */
  correctRunOutcome(id: RequestId, error: SchedulerError): SchedulerError {
    if (this.isOwned(id) && !this.#options.owner.find(id)) return error;
    return new SchedulerError(error.kind, {
      message: error.message,
      retryAfterMs: error.retryAfterMs,
      run: RunOutcome.MayHaveRun,
      requestId: id.text,
      cause: error,
    });
  }

  /**
   * Runs a call, or returns the answer of an earlier copy of the same call.
   *
   * @param id - the call's request ID
   * @param call - the resolved call
   * @param disconnectSignal - aborted when the caller disconnects
   * @returns the answer, as soon as its head is known
   * @throws SchedulerError when the call is refused or fails
   */
  async submit(
    id: RequestId,
    call: OwnedCall,
    disconnectSignal: AbortSignal,
  ): Promise<CallerAnswer> {
    const { head, request } = await this.#options.owner.submit(id, call, disconnectSignal);
    return { ...head, requestId: id.text, body: request.answer.read(0) };
  }

  /**
   * Reads an answer from an offset on.
   *
   * @param id - the request's ID
   * @param options - the offset, and the signal that the caller has disconnected
   * @returns the rest of the answer, as soon as its head is known
   * @throws SchedulerError when no call with this ID was received
   */
  async read(
    id: RequestId,
    options: Pick<ReadOptions, 'offset' | 'callerGone'>,
  ): Promise<CallerAnswer> {
    const request = this.#options.owner.find(id);
    if (!request) {
      throw new SchedulerError(ErrorKind.NotFound, {
        message: 'Cannot read an answer: no call with this request ID was received',
        run: RunOutcome.MayHaveRun,
        requestId: id.text,
      });
    }
    request.addCaller(options.callerGone);
    const head = await request.answer.waitForHead();
    return { ...head, requestId: id.text, body: request.answer.read(options.offset) };
  }
}
