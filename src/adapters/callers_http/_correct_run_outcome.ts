/**
 * Corrects the run outcome in refusals that the listener makes without the gateway.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import { RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { REQUEST_ID_PATTERN } from './_caller_call.js';

const REQUEST_ID_IN_PATH = /^\/v1\/requests\/([^/?]+)/;

/**
 * Corrects the run outcome of a refusal that is made before the gateway knows of the
 * request. A request with an ID may be a repeated call whose first copy is already running:
 * "not run" is then true of this copy but not of the request, and a caller that relies on
 * it would send the work again under another ID and have it done twice.
 *
 * @param refusal - the refusal
 * @param request - the refused request
 * @returns the refusal, with "may have run" in place of "not run" if the request has an ID
 */
export function correctRunOutcome(
  refusal: SchedulerError,
  request: IncomingMessage,
): SchedulerError {
  const requestId = findRequestId(request);
  if (requestId === undefined || refusal.run !== RunOutcome.NotRun) return refusal;
  return new SchedulerError(refusal.kind, {
    message: refusal.message,
    retryAfterMs: refusal.retryAfterMs,
    run: RunOutcome.MayHaveRun,
    requestId,
    cause: refusal.cause,
  });
}

/** Returns the request ID in the header or path; malformed IDs are ignored. */
function findRequestId({ headers, url }: IncomingMessage): string | undefined {
  const candidates = [
    headers['request-id'],
    decodeRequestId(REQUEST_ID_IN_PATH.exec(url ?? '')?.[1] ?? ''),
  ];
  return candidates.flat().find((id) => id !== undefined && REQUEST_ID_PATTERN.test(id));
}

function decodeRequestId(encoded: string): string | undefined {
  try {
    return decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
}
