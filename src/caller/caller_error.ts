/**
 * Why a call was not answered, and what is known of its run.
 *
 * @module
 */
import type { RunOutcome } from '../domain/errors/mod.js';

/** Codes of failures that no entry host told, besides the error kinds of the system. */
export enum LocalErrorCode {
  /** No entry host could be reached before anything was sent. */
  Unreachable = 'unreachable',
  /** The connection broke after the call was sent, and nobody can tell what became of it. */
  ConnectionLost = 'connection_lost',
  /** The answer broke off and could not be read on. */
  AnswerLost = 'answer_lost',
  /** An entry host answered in a form that the protocol doesn't know. */
  MalformedAnswer = 'malformed_answer',
}

/** What is known besides the outcome. */
export interface CallerErrorOptions {
  /** Error kind of the system, or a {@link LocalErrorCode}. */
  readonly code: string;
  /** When to come back, in milliseconds; 0: not as it stands. Default: 0. */
  readonly retryAfterMs?: number;
  /** HTTP status, where an entry host answered. */
  readonly status?: number;
  readonly requestId?: string;
  readonly cause?: unknown;
}

/** A call that was not answered whole. */
export class CallerError extends Error {
  override readonly name = 'CallerError';

  readonly code: string;

  readonly retryAfterMs: number;

  readonly status: number | undefined;

  readonly requestId: string | undefined;

  /**
   * @param run - what is known of the run
   * @param message - what could not be done, and why
   * @param options - the rest
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
