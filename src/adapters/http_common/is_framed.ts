/**
 * Checks whether an HTTP answer marks its own end.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Statuses of answers that have no body. */
const NO_BODY_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304]);

/** Any other last coding leaves the end of the body to the connection. */
const CHUNKED_PATTERN = /(?:^|,)\s*chunked\s*$/i;

/** Head of an answer, and the method of its request. */
export interface AnswerFraming {
  readonly method: string;
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
}

/**
 * @param framing - head of an answer, and the method of its request
 * @returns whether its end is marked; otherwise it ends with its connection, just as when its
 *   server crashes
 */
export function isFramed({ method, status, headers }: AnswerFraming): boolean {
  if (method === 'HEAD' || NO_BODY_STATUSES.has(status)) return true;
  const coding = headers['transfer-encoding'];
  return coding === undefined
    ? headers['content-length'] !== undefined
    : CHUNKED_PATTERN.test(coding);
}
