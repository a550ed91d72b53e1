/**
 * Parses the headers of a caller's request and builds the call for the gateway.
 *
 * @module
 */
import type { CallerCall } from '../../application/views/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { pickEndToEndHeaders } from '../http_common/mod.js';
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Request headers that are not forwarded to the backend server: the caller's key, which
 * no backend server may learn; headers that only the system may set, since a caller could
 * forge them; and headers that the connection to the backend server sets itself.
 */
const EXCLUDED_HEADERS: ReadonlySet<string> = new Set([
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

/** Printable ASCII without spaces; the owner of the request checks the exact format. */
export const REQUEST_ID_PATTERN = /^[!-~]{1,512}$/;
const MAX_NUMBER_DIGITS = 15;

/** The parts of a call that depend on the route. */
export interface RouteCallParts {
  readonly serviceId: string;
  /** Path and query that are sent to the backend server. */
  readonly path: string;
  readonly body: Uint8Array;
}

/**
 * Builds the call for the gateway from a caller's request.
 *
 * @param exchange - the request
 * @param parts - the parts that depend on the route
 * @returns the call
 * @throws SchedulerError of kind MalformedRequest
 */
export function buildCallerCall(exchange: CallerExchange, parts: RouteCallParts): CallerCall {
  const { http, account, span } = exchange;
  return {
    ...parts,
    account,
    requestId: parseRequestId(http.getHeader('request-id')),
    workKind: http.getHeader('work-kind'),
    method: http.request.method ?? 'GET',
    headers: pickEndToEndHeaders(http.request.headers, EXCLUDED_HEADERS),
    deadlineMs: parseWholeNumber('Request-Deadline-Ms', http.getHeader('request-deadline-ms'), 1),
    traceparent: span.traceparent,
    callerGone: http.disconnectSignal,
  };
}

/**
 * Checks the characters of a request ID; its owner checks whether the ID was issued. The ID
 * is echoed in a response header, where Node rejects control characters.
 *
 * @param text - the ID as the caller sent it; undefined when the caller sent none
 * @returns the ID, unchanged
 * @throws SchedulerError of kind RequestIdInvalid
 */
export function parseRequestId<Text extends string | undefined>(text: Text): Text {
  if (text === undefined || REQUEST_ID_PATTERN.test(text)) return text;
  throw new SchedulerError(ErrorKind.RequestIdInvalid, {
    message: 'Cannot accept the request ID: it has characters that no request ID has',
  });
}

/**
 * Parses an integer that a caller sent.
 *
 * @param name - name of the header or parameter, for the error message
 * @param text - decimal digits; undefined when the caller sent no value
 * @param min - smallest value allowed
 * @returns the number; undefined when the caller sent no value
 * @throws SchedulerError of kind MalformedRequest
 */
export function parseWholeNumber(
  name: string,
  text: string | undefined,
  min: number,
): number | undefined {
  if (text === undefined) return undefined;
  const isNumber = /^\d+$/.test(text) && text.length <= MAX_NUMBER_DIGITS;
  if (isNumber && Number(text) >= min) return Number(text);
  throw new SchedulerError(ErrorKind.MalformedRequest, {
    message: `Cannot accept ${name}: it is not an integer of at least ${min}`,
  });
}
