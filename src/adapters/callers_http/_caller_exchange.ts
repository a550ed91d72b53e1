/**
 * What a route of the callers' listener works with.
 *
 * @module
 */
import type { RequestGateway } from '../../application/views/mod.js';
import type { AccountContract } from '../../domain/contracts/types.js';
import type { Clock, Span } from '../../ports/mod.js';
import type { HttpExchange, RequestTarget } from '../http_common/mod.js';

/** One authenticated request on its route. */
export interface CallerExchange {
  readonly http: HttpExchange;
  readonly gateway: RequestGateway;
  readonly clock: Clock;
  readonly account: AccountContract;
  readonly target: RequestTarget;
  /** Values of the route's named segments. */
  readonly params: Readonly<Record<string, string>>;
  /** The span of this hop. */
  readonly span: Span;
  /**
   * Notes that from here on the gateway knows of the request, and what it says
   * of the run holds. Called right before the gateway is asked.
   */
  readonly noteHandOver: () => void;
  /** How long the caller may take no byte of an answer that waits for it, in milliseconds. */
  readonly answerStallTimeoutMs: number;
}

/** Answers one request. */
export type CallerHandler = (exchange: CallerExchange) => Promise<void>;

/** What a route does, and whether it asks for a key first. */
export type CallerRoute =
  | { readonly needsKey: true; readonly handle: CallerHandler }
  | { readonly needsKey: false; readonly handle: (http: HttpExchange) => Promise<void> };
