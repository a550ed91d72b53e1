/**
 * `POST /v1/requests`.
 *
 * @module
 */
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Gives out a request ID and the entry hosts to use with it.
 *
 * @param exchange - the request
 */
export async function handleAssign({ http, gateway, account }: CallerExchange): Promise<void> {
  const assignment = await gateway.assign(account, http.getHeader('idempotency-key'));
  http.sendJson(200, assignment, { 'request-id': assignment.id });
}
