/**
 * The error class that carries an error kind, and the body of an error answer.
 *
 * @module
 */
import type { ErrorKind, RunOutcome } from './error_kind.js';
import { ERROR_TABLE } from './error_table.js';

/** Values that override the defaults of the error table for one error. */
export interface SchedulerErrorOptions {
  /** Message to the caller: what could not be done, and why. Default: the kind in words. */
  readonly message?: string;
  /** Measured time after which to retry, in milliseconds. Default: that of the table. */
  readonly retryAfterMs?: number;
  /**
   * Whether the request ran, where more is known than the table states. It must never be
   * `not_run` for a request whose body may have left the owner.
   */
  readonly run?: RunOutcome;
  /** Request ID to send with the refusal, if there is one. */
  readonly requestId?: string;
  /** The underlying error. */
  readonly cause?: unknown;
}

/** A refusal or failure of a request, of one of the {@link ErrorKind} kinds. */
export class SchedulerError extends Error {
  override readonly name = 'SchedulerError';

  /** Why the request was refused or failed. */
  readonly kind: ErrorKind;

  /** Whether the request ran, as the answer states it. */
  readonly run: RunOutcome;

  /** Time after which to retry, in milliseconds; 0 advises against repeating the request. */
  readonly retryAfterMs: number;

  /** The request's ID, if there is one. */
  readonly requestId: string | undefined;

  /**
   * @param kind - why the request is refused or failed
   * @param options - values that override the defaults of the error table
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
 * Builds the body of the answer to an error.
 *
 * @param error - the refusal or failure
 * @returns the body, to be serialized as JSON
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
