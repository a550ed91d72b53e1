/**
 * Work and outcomes of requests on backend servers.
 *
 * @module
 */

/** Work that a request causes on a backend server. */
export interface RequestWork {
  /** Number of prompt tokens; 0 for a plain service. */
  readonly promptTokens: number;
  /** Maximum number of output tokens; 0 for a plain service. */
  readonly outputTokens: number;
  /** Number of output tokens that the caller expects; undefined if not given. */
  readonly hintedTokens?: number | undefined;
}

/** Outcome of a request on a backend server. */
export enum ServerOutcome {
  /** A complete answer arrived, with any status below 500. */
  Answered = 'answered',
  /** The server answered with an error of its own. */
  ServerError = 'erred',
  /** The server declared that it did not run the request. */
  Declined = 'declined',
  /** The connection failed or broke. */
  Failed = 'failed',
  /** The caller disconnected, or the deadline passed while the server worked normally. */
  Cancelled = 'cancelled',
}

/** What the time to first byte of a request depends on, as it was when the request was sent. */
export interface SendConditions {
  /** Prompt tokens of the request and of those of this host that the server reads before it. */
  readonly prefillTokens: number;
  /** Factor by which the requests in flight lengthen the time; 1 on an idle server. */
  readonly loadFactor: number;
}

/**
 * Tells whether an outcome counts as a failure. Errors of a model engine do: an engine that
 * fails every request always has free slots and would receive most requests. In one measured
 * run, three such engines of 42 took 4,500 of 23,600 requests in six seconds. Errors of plain
 * services are mostly caused by the callers.
 *
 * @param outcome - outcome of a request
 * @param isPlain - whether the server serves a plain service
 * @returns whether it counts as a failure of the server
 */
export function isFailure(outcome: ServerOutcome, isPlain: boolean): boolean {
  if (outcome === ServerOutcome.ServerError) return !isPlain;
  return outcome === ServerOutcome.Failed;
}
