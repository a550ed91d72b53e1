/**
 * The error kinds, the table that maps each kind to an answer, and the error class that
 * carries a kind. All refusals are created with this class:
 * `throw new SchedulerError(ErrorKind.QueueFull, { retryAfterMs: 1200 })`.
 *
 * @module
 */
export { ErrorKind, RunOutcome } from './error_kind.js';
export { formatReason } from './format_reason.js';
export { ERROR_TABLE, LogLevel } from './error_table.js';
export type { ErrorAnswer } from './error_table.js';
export { buildErrorBody, SchedulerError } from './scheduler_error.js';
export type { ErrorBody, SchedulerErrorOptions } from './scheduler_error.js';
