/**
 * Callers' headers, and the calls made of them.
 *
 * @module
 */
import type { CallerCall } from '../../application/views/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { pickEndToEndHeaders } from '../http_common/mod.js';
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Headers that end here: the caller's key, which no backend server may learn;
 * the system's own, which a caller could forge towards a backend server; and
 * those that the next connection sets for itself.
 */
const HEADERS_NOT_PASSED_ON: ReadonlySet<string> = new Set([
  'authorization',
  'client-account',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'request-deadline-ms',
  'request-id',
  'traceparent',
  'work-kind',
]);

/** Any printable text without spaces; the owner knows the true form. */
export const REQUEST_ID_FORM = /^[!-~]{1,512}$/;
const MAX_NUMBER_DIGITS = 15;

/** What a route adds to a call. */
export interface CallParts {
  readonly serviceId: string;
  /** Path and query for the backend server. */
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Builds a call out of a request.
 *
 * @param exchange - the request
 * @param parts - what its route adds
 * @returns the call
 * @throws SchedulerError of kind MalformedRequest
 */
export function buildCallerCall(exchange: CallerExchange, parts: CallParts): CallerCall {
  const { http, account, span } = exchange;
  return {
    ...parts,
    account,
    requestId: parseRequestId(http.getHeader('request-id')),
    workKind: http.getHeader('work-kind'),
    method: http.request.method ?? 'GET',
    headers: pickEndToEndHeaders(http.request.headers, HEADERS_NOT_PASSED_ON),
    deadlineMs: parseWholeNumber('Request-Deadline-Ms', http.getHeader('request-deadline-ms'), 1),
    traceparent: span.traceparent,
    callerGone: http.callerGone,
  };
}

/**
 * Checks the form of a request ID; whether it is a true one, its owner finds out.
 * An ID comes back in answers' headers, where a control character would be refused.
 *
 * @param text - the ID as the caller sent it; undefined when it sent none
 * @returns the ID
 * @throws SchedulerError of kind RequestIdInvalid
 */
export function parseRequestId<Text extends string | undefined>(text: Text): Text {
  if (text === undefined || REQUEST_ID_FORM.test(text)) return text;
  throw new SchedulerError(ErrorKind.RequestIdInvalid, {
    message: 'Cannot take the request ID: no ID has this form',
  });
}

/**
 * Parses a whole number that a caller sent.
 *
 * @param name - its name, for the error
 * @param text - the number in decimal; undefined when it was not sent
 * @param least - smallest number allowed
 * @returns the number; undefined when it was not sent
 * @throws SchedulerError of kind MalformedRequest
 */
export function parseWholeNumber(
  name: string,
  text: string | undefined,
  least: number,
): number | undefined {
  if (text === undefined) return undefined;
  const isNumber = /^\d+$/.test(text) && text.length <= MAX_NUMBER_DIGITS;
  if (isNumber && Number(text) >= least) return Number(text);
  throw new SchedulerError(ErrorKind.MalformedRequest, {
    message: `Cannot take ${name}: it is no whole number from ${least} on`,
  });
}
