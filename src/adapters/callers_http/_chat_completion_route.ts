/**
 * `POST /v1/chat/completions`: OpenAI-compatible chat completions.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { buildCallerCall } from './_caller_call.js';
import type { CallerExchange } from './_caller_exchange.js';
import { parseChatCompletionBody } from './_chat_completion_body.js';
import { sendAnswer } from './_send_answer.js';

const CHAT_COMPLETIONS_PATH = '/v1/chat/completions';

/** Most characters of a caller's text that an error message repeats. */
const MAX_ECHOED_CHARACTERS = 100;

/**
 * Forwards a chat completion unchanged to the service that serves its model.
 *
 * @param exchange - the request
 */
export async function handleChatCompletion(exchange: CallerExchange): Promise<void> {
  const body = await exchange.http.readBody(exchange.account.accountId);
  const { model } = parseChatCompletionBody(body);
  const serviceId = exchange.gateway.findServiceIdByModel(model);
  if (serviceId === undefined) {
    throw new SchedulerError(ErrorKind.UnknownModel, {
      message: `Cannot find the model ${JSON.stringify(model.slice(0, MAX_ECHOED_CHARACTERS))}`,
    });
  }
  const path = `${CHAT_COMPLETIONS_PATH}${exchange.target.search}`;
  const call = buildCallerCall(exchange, { serviceId, path, body });
  exchange.recordHandOver();
  await sendAnswer(exchange, await exchange.gateway.submit(call));
}
