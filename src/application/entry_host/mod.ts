/**
 * The application services of one entry host: accept callers' calls, run the requests that this
 * host owns and forward the others to their owners.
 * The callers' listener passes its calls to `new CallerGateway(options)`.
 *
 * @module
 */
export { CallerGateway } from './caller_gateway.js';
export type { CallerGatewayOptions } from './caller_gateway.js';
export { ForwardedCalls } from './forwarded_calls.js';
export type { ForwardedCallsOptions } from './forwarded_calls.js';
export { RequestIdIssuer } from './request_id_issuer.js';
export type { RequestIdIssuerOptions } from './request_id_issuer.js';
export { OwnedCalls } from './owned_calls.js';
export type { OwnedCallsOptions } from './owned_calls.js';
export { runPlannedStop } from './planned_stop.js';
export type { PlannedStopOptions } from './planned_stop.js';
