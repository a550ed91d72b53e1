/**
 * Outcome of one request as its caller saw it.
 *
 * @module
 */
import type { Arrival } from './arrivals.js';

/** How a request ended for its caller. */
export enum OutcomeKind {
  /** The complete answer arrived. */
  Answered = 'answered',
  /** A refusal or an error arrived; it tells whether the request ran. */
  Refused = 'refused',
  /** The answer belongs to another request or lacks tokens. */
  Wrong = 'wrong',
  /** Neither a complete answer nor a refusal arrived. */
  Lost = 'lost',
}

/** Outcome of one request; times in milliseconds from its scheduled arrival. */
export interface RequestOutcome {
  readonly arrival: Arrival;
  readonly kind: OutcomeKind;
  /** All request IDs; a request that is sent without an ID may get a new one with each attempt. */
  readonly requestIds: readonly string[];
  /** URL of the entry host that was used last. */
  readonly url: string;
  /** HTTP status; 0 when the request was lost. */
  readonly status: number;
  /** Error code of a refusal, or the reason why the request was lost. */
  readonly code: string | undefined;
  /** Run outcome that a refusal reports. */
  readonly run: string | undefined;
  readonly firstByteMs: number | undefined;
  readonly totalMs: number;
  readonly outputTokens: number;
  /** Number of calls sent, including resumptions. */
  readonly attempts: number;
  /** Number of times that the answer was resumed at an offset. */
  readonly resumptions: number;
}

/**
 * @param outcome - outcome of a request
 * @returns whether the complete answer arrived within the deadline
 */
export function isInDeadline(outcome: RequestOutcome): boolean {
  return (
    outcome.kind === OutcomeKind.Answered && outcome.totalMs <= outcome.arrival.work.deadlineMs
  );
}
