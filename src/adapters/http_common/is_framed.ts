/**
 * Checks whether an HTTP answer marks its own end.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';

/**
 * @param headers - headers of an answer
 * @returns whether its end is marked; otherwise it ends with its connection, just as when its
 *   server crashes
 */
export function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
