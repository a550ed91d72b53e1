/**
 * Error of a call without a complete answer: its code, and whether the call ran.
 *
 * @module
 */
import type { RunOutcome } from '../domain/errors/mod.js';

/** Codes of failures that the client itself detects. Entry hosts report `ErrorKind` codes. */
export enum LocalErrorCode {
  /** No entry host was reachable, and nothing was sent. */
  Unreachable = 'unreachable',
  /** The connection broke after the call was sent; its outcome is unknown. */
  ConnectionLost = 'connection_lost',
  /** The answer broke off and could not be resumed. */
  AnswerLost = 'answer_lost',
  /** An entry host's answer does not follow the protocol. */
  MalformedAnswer = 'malformed_answer',
}

/** Details of a {@link CallerError}. */
export interface CallerErrorOptions {
  /** An `ErrorKind` that an entry host reported, or a {@link LocalErrorCode}. */
  readonly code: string;
  /** Time after which to retry, in milliseconds; 0: don't retry the same call. Default: 0. */
  readonly retryAfterMs?: number;
  /** HTTP status, if an entry host answered. */
  readonly status?: number;
  readonly requestId?: string;
  readonly cause?: unknown;
}

/** A call that got no complete answer. */
export class CallerError extends Error {
  override readonly name = 'CallerError';

  readonly code: string;

  readonly retryAfterMs: number;

  readonly status: number | undefined;

  readonly requestId: string | undefined;

  /**
   * @param run - whether the call ran, as far as is known
   * @param message - what failed and why
   * @param options - code, retry-after time and other details
   */
  constructor(
    readonly run: RunOutcome,
    message: string,
    options: CallerErrorOptions,
  ) {
    super(message, { cause: options.cause });
    this.code = options.code;
    this.retryAfterMs = options.retryAfterMs ?? 0;
    this.status = options.status;
    this.requestId = options.requestId;
  }
}
