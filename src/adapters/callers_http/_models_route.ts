/**
 * `GET /v1/models`: OpenAI-compatible list of models.
 *
 * @module
 */
import type { CallerExchange } from './_caller_exchange.js';

/**
 * Lists the models that the client account may use, in the OpenAI format.
 *
 * @param exchange - the request
 */
export async function handleModels({ http, gateway, account }: CallerExchange): Promise<void> {
  const data = gateway
    .listModels(account)
    .map((id) => ({ id, object: 'model', created: 0, owned_by: 'monsoonhall' }));
  http.sendJson(200, { object: 'list', data });
}
