/**
 * The error class that carries a kind, and the body of its answer.
 *
 * @module
 */
import type { ErrorKind, RunOutcome } from './error_kind.js';
import { ERROR_TABLE } from './error_table.js';

/** What a place of refusal may add to the table's answer. */
export interface SchedulerErrorOptions {
  /** Sentence for the caller: what could not be done, and why. Default: the kind in words. */
  readonly message?: string;
  /** Measured advice when to come back, in milliseconds. Default: the table's. */
  readonly retryAfterMs?: number;
  /**
   * What is known of the run, where more is known than the table says. It must
   * never say `not_run` of a request whose body may have left the owner.
   */
  readonly run?: RunOutcome;
  /** The request ID to be given with the refusal, where there is one. */
  readonly requestId?: string;
  /** The error underneath. */
  readonly cause?: unknown;
}

/** A refusal or failure of the closed list of kinds. */
export class SchedulerError extends Error {
  override readonly name = 'SchedulerError';

  /** Why the request was refused or failed. */
  readonly kind: ErrorKind;

  /** What the answer says about the run. */
  readonly run: RunOutcome;

  /** When to come back, in milliseconds; 0: not as it stands. */
  readonly retryAfterMs: number;

  /** The request's ID, where there is one. */
  readonly requestId: string | undefined;

  /**
   * @param kind - why the request is refused or failed
   * @param options - what the place of refusal adds to the table's answer
   */
  constructor(kind: ErrorKind, options: SchedulerErrorOptions = {}) {
    super(options.message ?? kind.replaceAll('_', ' '), { cause: options.cause });
    this.kind = kind;
    this.run = options.run ?? ERROR_TABLE[kind].run;
    this.retryAfterMs = Math.ceil(options.retryAfterMs ?? ERROR_TABLE[kind].retryAfterMs);
    this.requestId = options.requestId;
  }

  /** HTTP status of the answer. */
  get status(): number {
    return ERROR_TABLE[this.kind].status;
  }
}

/** Body of every error answer. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly code: ErrorKind;
    readonly run: RunOutcome;
    readonly retryAfterMs: number;
  };
}

/**
 * Builds the body of an error's answer.
 *
 * @param error - the refusal or failure
 * @returns the body, ready for JSON
 */
export function buildErrorBody(error: SchedulerError): ErrorBody {
  return {
    error: {
      message: error.message,
      type: ERROR_TABLE[error.kind].type,
      code: error.kind,
      run: error.run,
      retryAfterMs: error.retryAfterMs,
    },
  };
}
