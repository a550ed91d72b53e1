/**
 * Types of the route handlers of the callers' listener.
 *
 * @module
 */
import type { RequestGateway } from '../../application/views/mod.js';
import type { AccountContract } from '../../domain/contracts/types.js';
import type { Clock, Span } from '../../ports/mod.js';
import type { HttpExchange, RequestTarget } from '../http_common/mod.js';

/** One authenticated request, as a route handler receives it. */
export interface CallerExchange {
  readonly http: HttpExchange;
  readonly gateway: RequestGateway;
  readonly clock: Clock;
  readonly account: AccountContract;
  readonly target: RequestTarget;
  /** Values of the named segments of the route's pattern. */
  readonly params: Readonly<Record<string, string>>;
  /** Trace span of the request on this entry host. */
  readonly span: Span;
  /**
   * Records that the request is handed to the gateway; from then on, the run outcome in
   * the gateway's errors is accurate. Called right before the call to the gateway.
   */
  readonly recordHandOver: () => void;
  /** Longest time that the caller may read no byte of a pending answer, in milliseconds. */
  readonly answerStallTimeoutMs: number;
}

/** Handles one authenticated request. */
export type CallerHandler = (exchange: CallerExchange) => Promise<void>;

/** A route's handler, and whether the route requires an API key. */
export type CallerRoute =
  | { readonly needsKey: true; readonly handle: CallerHandler }
  | { readonly needsKey: false; readonly handle: (http: HttpExchange) => Promise<void> };
