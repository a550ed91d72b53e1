/**
 * `DELETE /v1/requests/{id}`.
 *
 * @module
 */
import { parseRequestId } from './_caller_call.js';
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Cancels a request and tells its state after.
 *
 * @param exchange - the request
 */
export async function handleCancel(exchange: CallerExchange): Promise<void> {
  const { http, gateway, account, params } = exchange;
  const requestId = parseRequestId(params.id ?? '');
  exchange.noteHandOver();
  http.sendJson(200, await gateway.cancel(account, requestId), { 'request-id': requestId });
}
