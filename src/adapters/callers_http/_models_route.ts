/**
 * `GET /v1/models`.
 *
 * @module
 */
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Lists the models that the account may use, in the OpenAI form.
 *
 * @param exchange - the request
 */
export async function handleModels({ http, gateway, account }: CallerExchange): Promise<void> {
  const data = gateway
    .listModels(account)
    .map((id) => ({ id, object: 'model', created: 0, owned_by: 'monsoonhall' }));
  http.sendJson(200, { object: 'list', data });
}
