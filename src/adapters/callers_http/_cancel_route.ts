/**
 * `DELETE /v1/requests/{id}`: cancels requests.
 *
 * @module
 */
import { parseRequestId } from './_caller_call.js';
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Cancels a request and answers with its resulting state.
 *
 * @param exchange - the request
 */
export async function handleCancel(exchange: CallerExchange): Promise<void> {
  const { http, gateway, account, params } = exchange;
  const requestId = parseRequestId(params.id ?? '');
  exchange.recordHandOver();
  http.sendJson(200, await gateway.cancel(account, requestId), { 'request-id': requestId });
}
