/**
 * `POST /v1/requests`: issues request IDs.
 *
 * @module
 */
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Issues a request ID, and lists the entry hosts to send the request to.
 *
 * @param exchange - the request
 */
export async function handleAssign({ http, gateway, account }: CallerExchange): Promise<void> {
  const assignment = await gateway.assign(account, http.getHeader('idempotency-key'));
  http.sendJson(200, assignment, { 'request-id': assignment.id });
}
