/**
 * `GET /v1/health`: liveness of the listener.
 *
 * @module
 */
import type { HttpExchange } from '../http_common/mod.js';

/**
 * Answers with status 200 while the listener runs.
 *
 * @param http - the request
 */
export async function handleHealth(http: HttpExchange): Promise<void> {
  http.sendJson(200, { status: 'ok' });
}
