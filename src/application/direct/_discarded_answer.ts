/**
 * Answers that callers must not see.
 *
 * @module
 */
import { AnswerRelay } from './_answer_relay.js';

/** Statuses that promise a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * @param status - status of an answer to a request that has run
 * @returns whether the status would tell the caller that it has not run
 */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Discards an answer of any length, none of which may reach the caller. */
export class DiscardedAnswer extends AnswerRelay {
  readonly hasBegun = false;

  readonly lastEventId = undefined;

  readonly isInsideEvent = false;

  readonly isEmpty = true;

  override write(): void {}

  override end(): void {}
}
