/**
 * One entry host as callers meet it: takes their calls in, runs what it owns,
 * passes the rest on to the owners.
 * `new CallerGateway(options)` is what the callers' listener talks to.
 *
 * @module
 */
export { CallerGateway } from './caller_gateway.js';
export type { CallerGatewayOptions } from './caller_gateway.js';
export { ForwardedCalls } from './forwarded_calls.js';
export type { ForwardedCallsOptions } from './forwarded_calls.js';
export { IdentityIssuer } from './identity_issuer.js';
export type { IdentityIssuerOptions } from './identity_issuer.js';
export { OwnedCalls } from './owned_calls.js';
export type { OwnedCallsOptions } from './owned_calls.js';
export { runPlannedStop } from './planned_stop.js';
export type { PlannedStopOptions } from './planned_stop.js';
