/**
 * Handles calls that peers forward to this entry host as the owner of their requests.
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
import { buildJsonAnswer } from './_json_answer.js';
import type { RequestIdIssuer } from './request_id_issuer.js';
import type { OwnedCalls } from './owned_calls.js';

/** Options of {@link ForwardedCalls}. */
export interface ForwardedCallsOptions {
  readonly configuration: ConfigurationView;
  readonly issuer: RequestIdIssuer;
  readonly owner: OwnerService;
  readonly calls: OwnedCalls;
}

/** Answers calls that peers forward. */
export class ForwardedCalls {
  readonly #options: ForwardedCallsOptions;

  /** @param options - dependencies */
  constructor(options: ForwardedCallsOptions) {
    this.#options = options;
  }

  /**
   * Answers one forwarded call.
   *
   * @param message - the call
   * @param disconnectSignal - aborted when the caller disconnects from the peer
   * @returns the answer
   * @throws SchedulerError when the call is refused or fails
   */
  async handle(
    message: ForwardCallMessage,
    disconnectSignal: AbortSignal,
  ): Promise<ForwardedAnswer> {
    const { issuer, owner, calls } = this.#options;
    if (message.operation === ForwardOperation.Assign) {
      const key = message.idempotencyKey ?? '';
      return buildJsonAnswer({ id: issuer.getOrCreateByKey(message.accountId, key).text });
    }
    const id = issuer.parseId(message.requestId, message.accountId);
    switch (message.operation) {
      case ForwardOperation.ReadState:
        return buildJsonAnswer(owner.readState(id));
      case ForwardOperation.Cancel:
        return buildJsonAnswer(owner.cancel(id));
      case ForwardOperation.Read:
        return toForwardedAnswer(
          await calls.read(id, { offset: message.offset, callerGone: disconnectSignal }),
        );
      default:
        return toForwardedAnswer(await this.#submit(id, message, disconnectSignal));
    }
  }

  async #submit(
    id: RequestId,
    message: ForwardCallMessage,
    disconnectSignal: AbortSignal,
  ): Promise<CallerAnswer> {
    const { configuration, calls } = this.#options;
    const { call, traceparent } = message;
    const account = configuration.findAccount(message.accountId);
    if (!account || !call) {
      throw calls.correctRunOutcome(id, new SchedulerError(ErrorKind.ConfigurationMissing));
    }
    const owned = calls.resolveForId({ ...call, account, traceparent }, id);
    return calls.submit(id, owned, disconnectSignal);
  }
}

function toForwardedAnswer(answer: CallerAnswer): ForwardedAnswer {
  const { status, headers, isFramed, body } = answer;
  return { head: { status, headers, isFramed }, body };
}
