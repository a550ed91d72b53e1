/**
 * Calls that peers pass on to their owner.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import { ForwardOperation } from '../../ports/mod.js';
import type { ForwardCallMessage } from '../../ports/mod.js';
import type { ForwardedAnswer } from '../forwarding/mod.js';
import type { OwnerService } from '../owner/mod.js';
import type { CallerAnswer, ConfigurationView } from '../views/mod.js';
import { toJsonAnswer } from './_json_answer.js';
import type { IdentityIssuer } from './identity_issuer.js';
import type { OwnedCalls } from './owned_calls.js';

/** Options of {@link ForwardedCalls}. */
export interface ForwardedCallsOptions {
  readonly configuration: ConfigurationView;
  readonly issuer: IdentityIssuer;
  readonly owner: OwnerService;
  readonly calls: OwnedCalls;
}

/** Answers what peers pass on. */
export class ForwardedCalls {
  readonly #options: ForwardedCallsOptions;

  /** @param options - what it needs */
  constructor(options: ForwardedCallsOptions) {
    this.#options = options;
  }

  /**
   * Answers one call.
   *
   * @param message - the call
   * @param callerGone - aborted when the caller behind the peer is gone
   * @returns the answer
   * @throws SchedulerError when it is refused or fails
   */
  async handle(message: ForwardCallMessage, callerGone: AbortSignal): Promise<ForwardedAnswer> {
    const { issuer, owner, calls } = this.#options;
    if (message.operation === ForwardOperation.Assign) {
      const key = message.idempotencyKey ?? '';
      return toJsonAnswer({ id: issuer.findOrCreateByKey(message.accountId, key).text });
    }
    const id = issuer.parseId(message.requestId, message.accountId);
    switch (message.operation) {
      case ForwardOperation.ReadState:
        return toJsonAnswer(owner.readState(id));
      case ForwardOperation.Cancel:
        return toJsonAnswer(owner.cancel(id));
      case ForwardOperation.Read:
        return toForwarded(await calls.read(id, { offset: message.offset, callerGone }));
      default:
        return toForwarded(await this.#submit(id, message, callerGone));
    }
  }

  async #submit(
    id: RequestId,
    message: ForwardCallMessage,
    callerGone: AbortSignal,
  ): Promise<CallerAnswer> {
    const { configuration, calls } = this.#options;
    const { call, traceparent } = message;
    const account = configuration.findAccount(message.accountId);
    if (!account || !call) {
      throw calls.correctRun(id, new SchedulerError(ErrorKind.ConfigurationMissing));
    }
    const owned = calls.resolveForId({ ...call, account, traceparent }, id);
    return calls.submit(id, owned, callerGone);
  }
}

function toForwarded(answer: CallerAnswer): ForwardedAnswer {
  return { head: { status: answer.status, headers: answer.headers }, body: answer.body };
}
