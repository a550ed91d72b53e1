/**
 * What became of one offered request, as its caller saw it.
 *
 * @module
 */
import type { Arrival } from './arrivals.js';

/** How a request ended for its caller. */
export enum OutcomeKind {
  /** The whole answer came. */
  Answered = 'answered',
  /** An honest refusal or failure came, with what it says of the run. */
  Refused = 'refused',
  /** An answer came that was another's, or torn. */
  Wrong = 'wrong',
  /** Neither came: no final answer at all. */
  Lost = 'lost',
}

/** What became of one request; times in milliseconds from its arrival. */
export interface RequestOutcome {
  readonly arrival: Arrival;
  readonly kind: OutcomeKind;
  /** Each request ID under which it was sent; several when a bare request was sent again. */
  readonly requestIds: readonly string[];
  /** ID of the entry host's address that gave the final answer. */
  readonly url: string;
  readonly status: number;
  /** Error code of a refusal, or why the request was lost. */
  readonly code: string | undefined;
  /** `run` of a refusal. */
  readonly run: string | undefined;
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  readonly outputTokens: number;
  /** Calls that were needed, resumptions among them. */
  readonly attempts: number;
  /** Times that the answer was taken up again at an offset. */
  readonly resumptions: number;
}

/**
 * @param outcome - what became of a request
 * @returns whether the whole answer came within the deadline
 */
export function isInDeadline(outcome: RequestOutcome): boolean {
  return (
    outcome.kind === OutcomeKind.Answered && outcome.totalMs <= outcome.arrival.work.deadlineMs
  );
}
