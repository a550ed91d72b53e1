/**
 * Headers as they came, without those of one connection.
 *
 * @module
 */
import { HOP_BY_HOP_HEADERS } from '../http_common/mod.js';
import type { RawHeaders } from '../../ports/mod.js';

/**
 * Picks the headers that go on, in their order and spelling.
 *
 * @param rawHeaders - names and values by turns
 * @param connection - value of the `Connection` header, which may name more headers
 * @param excluded - lower-case names that are left out besides
 * @returns names and values by turns
 */
export function pickRawHeaders(
  rawHeaders: RawHeaders,
  connection: string | undefined,
  excluded: ReadonlySet<string>,
): string[] {
  const named = connection?.toLowerCase().split(/[\s,]+/) ?? [];
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] as string;
    const lower = name.toLowerCase();
    if (!HOP_BY_HOP_HEADERS.has(lower) && !excluded.has(lower) && !named.includes(lower)) {
      kept.push(name, rawHeaders[index + 1] as string);
    }
  }
  return kept;
}
