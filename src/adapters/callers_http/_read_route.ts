/**
 * `GET /v1/requests/{id}`: states and answers of requests.
 *
 * @module
 */
import { parseSoftwareVersion } from '../../domain/streams/mod.js';
import { parseRequestId, parseWholeNumber } from './_caller_call.js';
import type { CallerExchange } from './_caller_exchange.js';
import { sendAnswer } from './_send_answer.js';

/**
 * Returns the state of a request or, with `?offset=N`, its answer from that byte on.
 *
 * @param exchange - the request
 */
export async function handleRead(exchange: CallerExchange): Promise<void> {
  const { http, gateway, account, params, target } = exchange;
  const requestId = parseRequestId(params.id ?? '');
  const offset = parseWholeNumber('offset', target.query.get('offset') ?? undefined, 0);
  exchange.recordHandOver();
  if (offset === undefined) {
    const report = await gateway.readState(account, requestId);
    http.sendJson(200, report, { 'request-id': requestId });
    return;
  }
  const answer = await gateway.read(account, requestId, {
    offset,
    backendServer: target.query.get('backendServer') || undefined,
    streamId: target.query.get('streamId') || undefined,
    softwareVersion: parseSoftwareVersion(target.query.get('softwareVersion') ?? undefined),
    callerGone: http.disconnectSignal,
  });
  await sendAnswer(exchange, answer);
}
