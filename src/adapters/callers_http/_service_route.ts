/**
 * `/v1/services/{service}/…`: calls to plain services.
 *
 * @module
 */
import { buildCallerCall } from './_caller_call.js';
import type { CallerExchange } from './_caller_exchange.js';
import { sendAnswer } from './_send_answer.js';

/** `/v1/services/{service}`, before the path for the backend server. */
const SERVICE_PREFIX = /^\/v1\/services\/[^/]+/;

/**
 * Passes a call on whole: method, headers, query and body.
 *
 * @param exchange - the request
 */
export async function handleService(exchange: CallerExchange): Promise<void> {
  const { http, account, target, params } = exchange;
  const body = await http.readBody(account.accountId);
  const rest = target.path.replace(SERVICE_PREFIX, '') || '/';
  const call = buildCallerCall(exchange, {
    serviceId: params.service ?? '',
    path: `${rest}${target.search}`,
    body,
  });
  exchange.noteHandOver();
  await sendAnswer(exchange, await exchange.gateway.submit(call));
}
