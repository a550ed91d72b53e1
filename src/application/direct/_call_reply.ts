/**
 * Ends the reply of a call that no server answers.
 *
 * @module
 */
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { DirectReply, LogFields } from '../../ports/mod.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import { buildErrorFields } from './_call_recorder.js';
import { correctRefusal } from './_call_rejection.js';
import { EndCause } from './_end_cause.js';

/** Causes that end a call while a server may still bring its answer. */
const EARLY_CAUSES: ReadonlySet<EndCause> = new Set([EndCause.Deadline, EndCause.HostStops]);

/** What a call without an answer is told, and why. */
export interface CallFailure {
  readonly error: SchedulerError;
  readonly cause: EndCause;
  /** Whether any server may have run the request. */
  readonly mayHaveRun: boolean;
  /** Values that the decision used, for the log. */
  readonly details: LogFields;
}

/** The log line of a call's end. */
export interface CallEnd {
  readonly event: string;
  readonly fields: LogFields;
}

/** An answer of a server that is passed on if none is better. */
interface FallbackAnswer {
  readonly isError: boolean;
  readonly send: () => void;
}

/** Keeps the last answer of a server that may stand in for a better one. */
export class CallReply {
  readonly #reply: DirectReply;

  #fallback: FallbackAnswer | undefined;

  /** @param reply - the caller's connection */
  constructor(reply: DirectReply) {
    this.#reply = reply;
  }

  /** @param result - an attempt that has failed */
  recordFailure({ status, sendFallback }: DirectAttemptResult): void {
    if (sendFallback) this.#fallback = { isError: status >= 500, send: sendFallback };
  }

  /** Drops an empty answer, which its server may have broken off: another attempt follows. */
  dropEmptyAnswer(): void {
    if (this.#fallback?.isError === false) this.#fallback = undefined;
  }

  /**
   * Ends the reply with the kept answer of a server, or an error of this host; an answer that has
   * begun is broken off.
   *
   * @param failure - what the call is told
   * @returns what is logged
   */
  fail({ error, cause, mayHaveRun, details }: CallFailure): CallEnd {
    if (EARLY_CAUSES.has(cause)) this.dropEmptyAnswer();
    const { hasStarted } = this.#reply;
    if (!hasStarted && this.#fallback) {
      this.#fallback.send();
      return { event: 'call_answered', fields: { cause } };
    }
    const reportedError = correctRefusal(error, mayHaveRun);
    if (hasStarted) this.#reply.abort();
    else this.#reply.sendError(reportedError);
    const fields = { ...buildErrorFields(reportedError, cause), ...details };
    return { event: hasStarted ? 'call_broken_off' : 'call_refused', fields };
  }
}
