/**
 * What the listener's own refusals may say of the run.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import { RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { REQUEST_ID_FORM } from './_caller_call.js';

const ID_IN_PATH = /^\/v1\/requests\/([^/?]+)/;

/**
 * Corrects a refusal made before the gateway was asked. A request that brings
 * an ID may be the second copy of one that runs already: "not run" would be
 * true of this copy and false of the request, and a caller that believed it
 * would have its work done twice under another ID.
 *
 * @param refusal - the refusal
 * @param request - the refused request
 * @returns the refusal as it may be told
 */
export function correctRun(refusal: SchedulerError, request: IncomingMessage): SchedulerError {
  const requestId = findNamedId(request);
  if (requestId === undefined || refusal.run !== RunOutcome.NotRun) return refusal;
  return new SchedulerError(refusal.kind, {
    message: refusal.message,
    retryAfterMs: refusal.retryAfterMs,
    run: RunOutcome.MayHaveRun,
    requestId,
    cause: refusal.cause,
  });
}

/** What has not the form of an ID names no request. */
function findNamedId({ headers, url }: IncomingMessage): string | undefined {
  const named = [headers['request-id'], decodeId(ID_IN_PATH.exec(url ?? '')?.[1] ?? '')];
  return named.flat().find((id) => id !== undefined && REQUEST_ID_FORM.test(id));
}

function decodeId(encoded: string): string | undefined {
  try {
    return decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
}
