/**
 * Checks how an HTTP answer frames its body.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';
import { isChunkedLast, isDecoded } from './transfer_coding.js';

/** Lowest status of a final answer. Node reads lower ones too, such as 000. */
const MIN_FINAL_STATUS = 200;

/** Statuses of answers that have no body. */
const NO_BODY_STATUSES: ReadonlySet<number | undefined> = new Set([204, 304]);

/** Head of an answer, and the method of its request. */
export interface AnswerFraming {
  readonly method: string;
  readonly status: number | undefined;
  readonly headers: IncomingHttpHeaders;
}

/** @param status - status of an answer. @returns whether it is that of a final answer */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS;
}

/**
 * @param framing - head of an answer, and the method of its request
 * @returns whether its end is marked; otherwise it ends with its connection, just as when its
 *   server crashes
 */
export function isFramed(framing: AnswerFraming): boolean {
  if (!hasBody(framing)) return true;
  const { headers } = framing;
  const coding = headers['transfer-encoding'];
  return coding === undefined ? headers['content-length'] !== undefined : isChunkedLast(coding);
}

/**
 * @param framing - head of an answer, and the method of its request
 * @returns whether the bytes that Node gives are the body that was sent
 */
export function isAnswerDecoded(framing: AnswerFraming): boolean {
  return !hasBody(framing) || isDecoded(framing.headers['transfer-encoding']);
}

function hasBody({ method, status }: AnswerFraming): boolean {
  return method !== 'HEAD' && !NO_BODY_STATUSES.has(status);
}
