/**
 * Separates end-to-end headers from hop-by-hop headers.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Hop-by-hop headers of RFC 9110, section 7.6.1, and those that older software uses. */
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
 * Returns the headers that may be forwarded: those that are neither hop-by-hop nor named by
 * the `Connection` header.
 *
 * @param headers - headers with lower-case names
 * @param excluded - lower-case names of further headers to leave out
 * @returns the headers to forward; the values of repeated headers are joined
 */
export function pickEndToEndHeaders(
  headers: Readonly<IncomingHttpHeaders>,
  excluded: ReadonlySet<string> = new Set(),
): Record<string, string> {
  const connectionHeaders = new Set(
    (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: [string, string][] = [];
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) return;
    if (connectionHeaders.has(name) || excluded.has(name)) return;
    kept.push([name, Array.isArray(value) ? value.join(', ') : value]);
  });
  return Object.fromEntries(kept);
}
