/**
 * Converts errors to HTTP answers.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

const MS_PER_SECOND = 1000;

/**
 * Converts any thrown value to a {@link SchedulerError}.
 *
 * @param thrown - the thrown value
 * @returns the same error, or one of kind Internal whose message does not reveal the cause
 */
export function toSchedulerError(thrown: unknown): SchedulerError {
  if (thrown instanceof SchedulerError) return thrown;
  return new SchedulerError(ErrorKind.Internal, {
    message: 'Cannot answer: internal error',
    cause: thrown,
  });
}

/**
 * Builds the headers of an error answer.
 *
 * @param error - the refusal or failure
 * @param requestId - ID of the request, used when the error has none
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
 * OpenAI client libraries retry after every 409 and 5xx answer, even one with run outcome
 * "may have run", unless `x-should-retry` forbids it. Without that header, a request that
 * must not be sent again unchanged would be sent twice more.
 */
function buildRetryHeaders(retryAfterMs: number): Record<string, string> {
  if (retryAfterMs === 0) return { 'x-should-retry': 'false' };
  return {
    'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
    'retry-after-ms': String(retryAfterMs),
  };
}

/** @returns the refusal of a request whose body comes in a coding that is not taken off */
export function createCodingError(): SchedulerError {
  return new SchedulerError(ErrorKind.MalformedRequest, {
    message: 'Cannot accept the body: its transfer coding is not chunked alone',
  });
}
