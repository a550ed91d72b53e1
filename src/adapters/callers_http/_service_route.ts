/**
 * `/v1/services/{service}/…`: calls to services other than model inference.
 *
 * @module
 */
import { buildCallerCall } from './_caller_call.js';
import type { CallerExchange } from './_caller_exchange.js';
import { sendAnswer } from './_send_answer.js';

/** `/v1/services/{service}`, which precedes the path for the backend server. */
const SERVICE_PREFIX = /^\/v1\/services\/[^/]+/;

/**
 * Forwards a call with its method, headers, query and body.
 *
 * @param exchange - the request
 */
export async function handleService(exchange: CallerExchange): Promise<void> {
  const { http, account, target, params } = exchange;
  const body = await http.readBody(account.accountId);
  const backendPath = target.path.replace(SERVICE_PREFIX, '') || '/';
  const call = buildCallerCall(exchange, {
    serviceId: params.service ?? '',
    path: `${backendPath}${target.search}`,
    body,
  });
  exchange.recordHandOver();
  await sendAnswer(exchange, await exchange.gateway.submit(call));
}
