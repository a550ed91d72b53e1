/**
 * Which headers belong to one connection and which to the whole way.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Headers of one connection (RFC 9110, 7.6.1), and those that older software uses likewise. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'http2-settings',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Picks the headers that may be passed on: without hop-by-hop ones and those
 * that `Connection` names.
 *
 * @param headers - headers with lower-case names
 * @param excluded - lower-case names that are left out besides
 * @returns the headers to be passed on, repeated ones joined
 */
export function pickEndToEndHeaders(
  headers: Readonly<IncomingHttpHeaders>,
  excluded: ReadonlySet<string> = new Set(),
): Record<string, string> {
  const named = new Set(
    (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: [string, string][] = [];
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return;
    if (named.has(name) || excluded.has(name)) return;
    kept.push([name, Array.isArray(value) ? value.join(', ') : value]);
  });
  return Object.fromEntries(kept);
}
