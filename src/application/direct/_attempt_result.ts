/**
 * Result of one attempt of a call.
 *
 * @module
 */
import { ServerOutcome } from '../../domain/backend_servers/mod.js';
import type { AnswerEnd } from '../../domain/streams/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import type { StreamRelay } from './_answer_relay.js';

/** Result of an attempt. */
export interface DirectAttemptResult {
  /** Why the attempt failed; undefined when the caller has the complete answer. */
  readonly failure: BackendFailure | undefined;
  /** Whether the backend server's answer arrived completely, whatever its status. */
  readonly isComplete: boolean;
  /** Whether the answer marked its own end; if not, a crash looks like the end of the answer. */
  readonly isFramed: boolean;
  /** What became of an answer whose connection was not reset; undefined for errors. */
  readonly answerEnd: AnswerEnd | undefined;
  readonly reason: string;
  readonly status: number;
  /** Time from the start to the first byte, in milliseconds; 0 when no byte arrived. */
  readonly firstByteMs: number;
  /** Time to the first byte that was predicted at the start, in milliseconds. */
  readonly predictedFirstByteMs: number;
  /** Duration of the attempt, in milliseconds. */
  readonly totalMs: number;
  /** Output tokens that this attempt generated; 0 for an answer that is no stream. */
  readonly outputTokens: number;
  /** The stream as far as the caller received it. */
  readonly stream: StreamRelay | undefined;
  /** Sends the backend server's error answer, for the case that no other server is tried. */
  readonly sendFallback: (() => void) | undefined;
}

/** @param failure - how an attempt failed; undefined if it didn't. @returns what it says of its server */
export function toServerOutcome(failure: BackendFailure | undefined): ServerOutcome {
  if (failure === undefined) return ServerOutcome.Answered;
  return failure === BackendFailure.Declined ? ServerOutcome.Declined : ServerOutcome.Failed;
}
