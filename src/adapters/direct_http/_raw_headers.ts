/**
 * Filters raw headers for forwarding.
 *
 * @module
 */
import { HOP_BY_HOP_HEADERS } from '../http_common/mod.js';
import type { RawHeaders } from '../../ports/mod.js';

/**
 * Returns the headers that are forwarded, in their original order and spelling.
 *
 * @param rawHeaders - alternating names and values
 * @param connection - value of the `Connection` header, which may name more hop-by-hop headers
 * @param excluded - lower-case names of further headers that are not forwarded
 * @returns alternating names and values
 */
export function pickRawHeaders(
  rawHeaders: RawHeaders,
  connection: string | undefined,
  excluded: ReadonlySet<string>,
): string[] {
  const connectionHeaders = connection?.toLowerCase().split(/[\s,]+/) ?? [];
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lowerCaseName = name.toLowerCase();
    if (
      !HOP_BY_HOP_HEADERS.has(lowerCaseName) &&
      !excluded.has(lowerCaseName) &&
      !connectionHeaders.includes(lowerCaseName)
    ) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return kept;
}
