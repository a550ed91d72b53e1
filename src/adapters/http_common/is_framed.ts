/**
 * Whether an answer tells where it ends.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';

/**
 * @param headers - of an answer
 * @returns whether its end is marked; if not, it ends with its connection, as it does when its
 *   server ends
 */
export function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
