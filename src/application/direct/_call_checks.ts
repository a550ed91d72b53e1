/**
 * Whether a call may be served, and for whom.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { formatContentId, hashContent } from '../../domain/requests/mod.js';
import type { ClientAccount, Route, RouteTable } from '../../domain/routing/mod.js';
import type { DirectRequest } from '../../ports/mod.js';
import type { CrashKeeper } from '../crashes/mod.js';
import type { RoutingKeeper } from './routing_keeper.js';

/** Advice of when to come back to callers that another entry host may serve, in milliseconds. */
const RETRY_ELSEWHERE_MS = 50;

/** What the checks need. */
export interface CallChecksOptions {
  readonly routing: RoutingKeeper;
  readonly crashes: CrashKeeper;
  /** Age of the configuration up to which a key may be believed, in milliseconds. */
  readonly maxKeyAgeMs: number;
  /**
   * Age of the configuration from which on an unknown key or route isn't refused for
   * good, in milliseconds: it may have been added meanwhile.
   */
  readonly sureAgeMs: number;
}

/** A call that may be served. */
export interface CheckedCall {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined on routes that are open to all. */
  readonly account: ClientAccount | undefined;
  /** Names what it asks; all repeats of a request have the same. */
  readonly contentId: string;
}

/** Checks calls on arrival, and again right before they leave. */
export class CallChecks {
  readonly #options: CallChecksOptions;

  /** @param options - what the checks need */
  constructor(options: CallChecksOptions) {
    this.#options = options;
  }

  /**
   * @param request - a call that has arrived
   * @returns what was found for it
   * @throws SchedulerError when it may not be served
   */
  check(request: DirectRequest): CheckedCall {
    const { routing, crashes } = this.#options;
    const { table } = routing;
    if (!table) throw new SchedulerError(ErrorKind.ConfigurationMissing, { retryAfterMs: 300 });
    const route = this.#findRoute(table, request);
    const account = route.isOpen ? undefined : this.#authenticate(table, request);
    const contentId = deriveContentId(request, account);
    const refusal = crashes.findRefusal(contentId);
    if (refusal) throw refusal;
    return { table, route, account, contentId };
  }

  /**
   * Looks again right before a request leaves: while it waited, its key may have been taken
   * away, this process may have stood still or lost the store, or servers may have ended
   * under its like.
   *
   * @param call - what was found on its arrival
   * @param request - the call
   * @returns why it must not leave; undefined when it may
   */
  findDispatchRefusal(
    { route, contentId }: CheckedCall,
    request: DirectRequest,
  ): SchedulerError | undefined {
    const quarantineError = this.#options.crashes.findRefusal(contentId);
    if (quarantineError || route.isOpen) return quarantineError;
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
 * Builds the refusal of a call that another entry host may serve.
 *
 * @param kind - why this one doesn't
 * @returns the refusal
 */
export function buildRetryElsewhereError(kind: ErrorKind): SchedulerError {
  return new SchedulerError(kind, { retryAfterMs: RETRY_ELSEWHERE_MS });
}

function deriveContentId(request: DirectRequest, account: ClientAccount | undefined): string {
  const { method, hostName, target, body } = request;
  return formatContentId(hashContent([account?.id ?? '', method, hostName, target], body));
}
