/**
 * Reads and watches the platform's services over HTTP.
 *
 * ```ts
 * const reader = new HttpPlatformReader({ baseUrl, clock });
 * await reader.read('monsoonhall/', { afterIndex: 0, waitMs: 0, signal });
 * ```
 *
 * @module
 */
export {
  RESPONSE_MARGIN_MS,
  CONNECT_TIMEOUT_MS,
  HttpPlatformReader,
  MAX_RESPONSE_BYTES,
} from './http_platform_reader.js';
export type { HttpPlatformReaderOptions } from './http_platform_reader.js';
