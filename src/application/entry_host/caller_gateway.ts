/**
 * Handles callers' requests, at this entry host or by forwarding them to the request's owner.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { AccountContract } from '../../domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import { ForwardOperation } from '../../ports/mod.js';
import type { BackendServerClient, Clock } from '../../ports/mod.js';
import type { ForwardClient, ForwardFields } from '../forwarding/mod.js';
import type { OwnedCall, OwnerService } from '../owner/mod.js';
import { RequestGateway } from '../views/mod.js';
import type {
  Assignment,
  CallerAnswer,
  CallerCall,
  ConfigurationView,
  MembershipView,
  ReadOptions,
  RequestReport,
} from '../views/mod.js';
import { readJsonBody } from './_json_answer.js';
import { relayWithFailover, resumeForCaller } from './_stream_failover.js';
import type { RelayedAnswer, RelayStart } from './_stream_failover.js';
import type { RequestIdIssuer } from './request_id_issuer.js';
import type { OwnedCalls } from './owned_calls.js';

/** Options of {@link CallerGateway}. */
export interface CallerGatewayOptions {
  readonly clock: Clock;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly issuer: RequestIdIssuer;
  readonly owner: OwnerService;
  readonly calls: OwnedCalls;
  readonly forwardClient: ForwardClient;
  readonly backend: BackendServerClient;
}

const EMPTY_FIELDS: ForwardFields = {
  operation: ForwardOperation.Read,
  accountId: '',
  requestId: '',
  traceparent: undefined,
  call: undefined,
  offset: 0,
  idempotencyKey: undefined,
};

/** Accepts calls from callers; see {@link RequestGateway}. */
export class CallerGateway extends RequestGateway {
  readonly #options: CallerGatewayOptions;

  /** @param options - dependencies */
  constructor(options: CallerGatewayOptions) {
    super();
    this.#options = options;
  }

  override authenticate(apiKey: string | undefined): AccountContract {
    const { configuration } = this.#options;
    if (apiKey === undefined) throw buildUnauthenticatedError('it has no API key');
    // A lookup by hash needs no constant-time comparison: its duration reveals
    // something about hashes, not about keys.
    const keyHash = createHash('sha256').update(apiKey).digest('hex');
    const account = configuration.findAccountByKeyHash(keyHash);
    if (account) return account;
    if (configuration.listAccounts().length > 0)
      throw buildUnauthenticatedError('no contract has its API key');
    throw new SchedulerError(ErrorKind.ConfigurationMissing, {
      message: 'Cannot identify the account: no contract is in effect at this entry host yet',
    });
  }

  override async assign(
    account: AccountContract,
    idempotencyKey: string | undefined,
  ): Promise<Assignment> {
    const { issuer } = this.#options;
    const id =
      idempotencyKey === undefined
        ? issuer.createId(account.accountId, issuer.pickOwner())
        : await this.#findIdByKey(account.accountId, idempotencyKey);
    return issuer.buildAssignment(id);
  }

  override async submit(call: CallerCall): Promise<CallerAnswer> {
    const { issuer, calls } = this.#options;
    const { accountId } = call.account;
    if (call.requestId === undefined) {
      const owned = calls.resolve(call);
      const id = issuer.createId(accountId);
      if (!owned.work.repeatable) throw buildIdRequiredError(owned, id);
      return calls.submit(id, owned, call.callerGone);
    }
    const id = issuer.parseId(call.requestId, accountId);
    const owned = calls.resolveForId(call, id);
    if (calls.isOwned(id)) return calls.submit(id, owned, call.callerGone);
    return this.#forwardSubmit(id, call, owned);
  }

  override async read(
    account: AccountContract,
    requestId: string,
    options: ReadOptions,
  ): Promise<CallerAnswer> {
    const { issuer, calls } = this.#options;
    const id = issuer.parseId(requestId, account.accountId);
    try {
      if (calls.isOwned(id)) return await calls.read(id, options);
      const { offset, callerGone } = options;
      const answer = await this.#readAtOwner(id, account, { offset, callerGone });
      return this.#relay(id, account, answer, { offset, callerGone });
    } catch (error) {
      return resumeForCaller(this.#options, id, error, options);
    }
  }

  override async readState(account: AccountContract, requestId: string): Promise<RequestReport> {
    const { issuer, calls, owner } = this.#options;
    const id = issuer.parseId(requestId, account.accountId);
    if (calls.isOwned(id)) return owner.readState(id);
    return this.#forwardReportRequest(id, ForwardOperation.ReadState, account.accountId);
  }

  override async cancel(account: AccountContract, requestId: string): Promise<RequestReport> {
    const { issuer, calls, owner } = this.#options;
    const id = issuer.parseId(requestId, account.accountId);
    if (calls.isOwned(id)) return owner.cancel(id);
    return this.#forwardReportRequest(id, ForwardOperation.Cancel, account.accountId);
  }

  override listModels(account: AccountContract): readonly string[] {
    const services = new Set(account.work.map((work) => work.serviceId));
    return this.#options.configuration
      .listServices()
      .filter((service) => services.has(service.id))
      .flatMap((service) => service.models);
  }

  override findServiceIdByModel(model: string): string | undefined {
    return this.#options.configuration.findServiceByModel(model)?.id;
  }

  async #forwardSubmit(id: RequestId, call: CallerCall, owned: OwnedCall): Promise<CallerAnswer> {
    const answer = await this.#forward(
      id,
      {
        operation: ForwardOperation.Submit,
        accountId: call.account.accountId,
        traceparent: call.traceparent,
        call: {
          serviceId: owned.service.id,
          workKind: owned.work.kind,
          method: call.method,
          path: call.path,
          headers: call.headers,
          body: call.body,
          deadlineMs: owned.deadlineMs,
        },
      },
      call.callerGone,
    );
    return this.#relay(id, call.account, answer, { offset: 0, callerGone: call.callerGone });
  }

  #relay(
    id: RequestId,
    account: AccountContract,
    answer: RelayedAnswer,
    start: Omit<RelayStart, 'readAgain'>,
  ): CallerAnswer {
    return relayWithFailover(this.#options, id, answer, {
      ...start,
      readAgain: (offset) => this.#readAtOwner(id, account, { ...start, offset }),
    });
  }

  #readAtOwner(
    id: RequestId,
    { accountId }: AccountContract,
    { offset, callerGone }: Omit<RelayStart, 'readAgain'>,
  ): Promise<RelayedAnswer> {
    return this.#forward(id, { operation: ForwardOperation.Read, accountId, offset }, callerGone);
  }

  async #findIdByKey(accountId: string, key: string): Promise<RequestId> {
    const { issuer, membership, forwardClient } = this.#options;
    const responsible = membership.pickResponsible(`idempotency/${accountId}/${key}`);
    if (responsible.incarnation === membership.self.incarnation) {
      return issuer.getOrCreateByKey(accountId, key);
    }
    const operation = ForwardOperation.Assign;
    const fields = { ...EMPTY_FIELDS, operation, accountId, idempotencyKey: key };
    try {
      const { id: ownerId, incarnation } = responsible;
      const { body } = await forwardClient.forward(
        ownerId,
        incarnation,
        fields,
        createUnabortedSignal(),
      );
      const { id } = await readJsonBody<{ id: string }>(body);
      return issuer.parseId(id, accountId);
    } catch {
      // The key is a convenience only: when the responsible host fails, the caller gets
      // an ID that a repeated assignment will not return.
      return issuer.getOrCreateByKey(accountId, key);
    }
  }

  async #forwardReportRequest(
    id: RequestId,
    operation: ForwardOperation,
    accountId: string,
  ): Promise<RequestReport> {
    const { body } = await this.#forward(id, { operation, accountId }, createUnabortedSignal());
    return readJsonBody<RequestReport>(body);
  }

  #forward(
    id: RequestId,
    fields: Partial<ForwardFields>,
    disconnectSignal: AbortSignal,
  ): ReturnType<ForwardClient['forward']> {
    return this.#options.forwardClient.forward(
      id.ownerId,
      id.incarnation,
      { ...EMPTY_FIELDS, ...fields, requestId: id.text },
      disconnectSignal,
    );
  }
}

/** Creates a signal that never aborts, for short requests to a peer. */
function createUnabortedSignal(): AbortSignal {
  return new AbortController().signal;
}

function buildUnauthenticatedError(reason: string): SchedulerError {
  return new SchedulerError(ErrorKind.Unauthenticated, {
    message: `Cannot authenticate the call: ${reason}`,
  });
}

function buildIdRequiredError(call: OwnedCall, id: RequestId): SchedulerError {
  return new SchedulerError(ErrorKind.RequestIdRequired, {
    message: `Cannot run work kind ${call.work.kind} without a request ID: it is not repeatable; send the call again with the given ID`,
    requestId: id.text,
  });
}
