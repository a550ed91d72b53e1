/**
 * Errors as HTTP answers.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

const MS_PER_SECOND = 1000;

/**
 * Makes an error of the closed list out of anything that was thrown.
 *
 * @param thrown - what was thrown
 * @returns it, or an error of kind Internal whose text keeps the cause from callers
 */
export function toSchedulerError(thrown: unknown): SchedulerError {
  if (thrown instanceof SchedulerError) return thrown;
  return new SchedulerError(ErrorKind.Internal, {
    message: 'Cannot answer: a fault of the system',
    cause: thrown,
  });
}

/**
 * Builds the headers of an error's answer.
 *
 * @param error - the refusal or failure
 * @param requestId - the request's ID, where the error itself has none
 * @returns headers with lower-case names
 */
export function buildErrorHeaders(
  error: SchedulerError,
  requestId?: string,
): Record<string, string> {
  const id = error.requestId ?? requestId;
  return {
    'content-type': 'application/json',
    ...(id === undefined ? {} : { 'request-id': id }),
    ...(error.kind === ErrorKind.Unauthenticated ? { 'www-authenticate': 'Bearer' } : {}),
    ...buildRetryHeaders(error.retryAfterMs),
  };
}

/**
 * OpenAI client libraries repeat each answer of 409 and 5xx by themselves, also
 * one that says "may have run". `x-should-retry` is their own way to be told
 * not to; without it a request that is not to be sent again as it stands would
 * come twice more.
 */
function buildRetryHeaders(retryAfterMs: number): Record<string, string> {
  if (retryAfterMs === 0) return { 'x-should-retry': 'false' };
  return {
    'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
    'retry-after-ms': String(retryAfterMs),
  };
}
