/**
 * HTTP basics for all listeners: limits on connections, headers, bodies and durations, error
 * answers, a small router and key comparison. Use it as
 * `new HttpListener({ limits, log, handle: async (exchange) => exchange.sendJson(200, {}) })`.
 *
 * @module
 */
export { DEFAULT_HTTP_LIMITS } from './http_limits.js';
export type { HttpLimits } from './http_limits.js';
export { HttpExchange } from './http_exchange.js';
export { HttpListener } from './http_listener.js';
export type { HttpListenerOptions } from './http_listener.js';
export type { TlsIdentity } from './_limited_server.js';
export { Admission, HeldRequests } from './held_requests.js';
export { CloseCause } from './close_cause.js';
export type { CloseReport } from './close_cause.js';
export { computeMaxConnections, ConnectionBound } from './connection_bound.js';
export { discardBody, MIN_DISCARDED_BYTES } from './discard_body.js';
export { closeWithRefusal, toParserRefusal } from './_raw_answer.js';
export { InputGate } from './input_gate.js';
export { runAfterInput } from './input_turns.js';
export { JoinedParts } from './joined_parts.js';
export { RequestOrder } from './request_order.js';
export { startListening } from './start_listening.js';
export type { ListenAddress } from './start_listening.js';
export { buildErrorHeaders, createCodingError, toSchedulerError } from './error_answer.js';
export { HOP_BY_HOP_HEADERS, pickEndToEndHeaders } from './end_to_end_headers.js';
export { isAnswerDecoded, isFinalStatus, isFramed } from './is_framed.js';
export type { AnswerFraming } from './is_framed.js';
export { isDecoded } from './transfer_coding.js';
export { ExchangeGuard } from './exchange_guard.js';
export { ConnectionEnd } from './connection_end.js';
export { fetchResponse, ResponseCutOffError, ResponseTooLongError } from './fetch_response.js';
export type { FetchedResponse, FetchOptions } from './fetch_response.js';
export { parseRequestTarget } from './request_target.js';
export type { RequestTarget } from './request_target.js';
export { findRoute } from './router.js';
export type { RouteMatch, Route } from './router.js';
export { compareSecrets, parseBearerKey } from './bearer_key.js';
