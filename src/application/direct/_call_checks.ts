/**
 * Checks whether a call may be served, and finds its route and client account.
 *
 * @module
 */
import { MIN_RETRY_AFTER_MS } from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { formatContentId, hashContent, listSharedPartIds } from '../../domain/requests/mod.js';
import type { ClientAccount, Route, RouteTable } from '../../domain/routing/mod.js';
import type { DirectRequest } from '../../ports/mod.js';
import type { CrashQuarantine, RequestDetails } from '../crashes/mod.js';
import type { RoutingView } from './routing_view.js';

/** Dependencies and limits of {@link CallChecks}. */
export interface CallChecksOptions {
  readonly routing: RoutingView;
  readonly crashes: CrashQuarantine;
  /** Configuration age, in milliseconds, from which on the keys in it are no longer accepted. */
  readonly maxKeyAgeMs: number;
  /**
   * Configuration age, in milliseconds, from which on an unknown key or route is refused only
   * temporarily: a newer configuration may contain it.
   */
  readonly sureAgeMs: number;
}

/** A call that passed the checks. */
export interface CheckedCall {
  readonly table: RouteTable;
  readonly route: Route;
  /** Client account of the key; undefined on routes that need no key. */
  readonly account: ClientAccount | undefined;
  /** Hash of what the call requests. All repeats of a request have the same content ID. */
  readonly contentId: string;
  /** Parts of its prompt that other calls may share, and its account. */
  readonly details: RequestDetails;
}

/** Checks calls on arrival and again immediately before dispatch. */
export class CallChecks {
  readonly #options: CallChecksOptions;

  /** @param options - dependencies and limits */
  constructor(options: CallChecksOptions) {
    this.#options = options;
  }

  /**
   * Checks a call on arrival.
   *
   * @param request - the call's request
   * @returns the route, client account and content ID of the call
   * @throws SchedulerError when the call may not be served
   */
  check(request: DirectRequest): CheckedCall {
    const { routing, crashes } = this.#options;
    const { table } = routing;
    if (!table) throw new SchedulerError(ErrorKind.ConfigurationMissing, { retryAfterMs: 300 });
    const route = this.#findRoute(table, request);
    const account = route.mayBeAnonymous ? undefined : this.#authenticate(table, request);
    const contentId = deriveContentId(request, account);
    const details = { partIds: listSharedPartIds(request.prompt), accountId: account?.id };
    const refusal = crashes.findRefusal(contentId, details);
    if (refusal) throw refusal;
    return { table, route, account, contentId, details };
  }

  /**
   * Checks a call again immediately before dispatch. While the call waited, its key may have
   * been revoked, this process may have been suspended or have lost its connection to the
   * store, or backend servers may have crashed under the same content.
   *
   * @param call - what the check on arrival found
   * @param request - the call's request
   * @returns why the call must not be sent; undefined when it may be sent
   */
  findDispatchRefusal(
    { route, contentId, details }: CheckedCall,
    request: DirectRequest,
  ): SchedulerError | undefined {
    const quarantineError = this.#options.crashes.findRefusal(contentId, details);
    if (quarantineError || route.mayBeAnonymous) return quarantineError;
    const { table } = this.#options.routing;
    try {
      if (table) this.#authenticate(table, request);
      return undefined;
    } catch (error) {
      if (error instanceof SchedulerError) return error;
      throw error;
    }
  }

  #findRoute(table: RouteTable, { hostName, path }: DirectRequest): Route {
    const route = table.findRoute(hostName, path);
    if (route) return route;
    throw this.#isConfigurationCurrent()
      ? new SchedulerError(ErrorKind.NotFound)
      : buildRetryElsewhereError(ErrorKind.EntryHostCutOff);
  }

  #authenticate(table: RouteTable, { key }: DirectRequest): ClientAccount {
    const { routing, maxKeyAgeMs } = this.#options;
    if (routing.computeAgeMs() >= maxKeyAgeMs)
      throw buildRetryElsewhereError(ErrorKind.EntryHostCutOff);
    const account = key === undefined ? undefined : table.findAccount(key);
    if (account) return account;
    throw this.#isConfigurationCurrent()
      ? new SchedulerError(ErrorKind.Unauthenticated)
      : buildRetryElsewhereError(ErrorKind.EntryHostCutOff);
  }

  #isConfigurationCurrent(): boolean {
    return this.#options.routing.computeAgeMs() < this.#options.sureAgeMs;
  }
}

/**
 * Builds the refusal of a call that another entry host may be able to serve.
 *
 * @param kind - why this entry host can't serve the call
 * @returns the refusal
 */
export function buildRetryElsewhereError(kind: ErrorKind): SchedulerError {
  return new SchedulerError(kind, { retryAfterMs: MIN_RETRY_AFTER_MS });
}

function deriveContentId(request: DirectRequest, account: ClientAccount | undefined): string {
  const { method, hostName, target, body } = request;
  return formatContentId(hashContent([account?.id ?? '', method, hostName, target], body));
}
