/**
 * `GET /v1/health`.
 *
 * @module
 */
import type { HttpExchange } from '../http_common/mod.js';

/**
 * Says that the listener answers.
 *
 * @param http - the request
 */
export async function handleHealth(http: HttpExchange): Promise<void> {
  http.sendJson(200, { status: 'ok' });
}
