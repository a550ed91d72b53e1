/**
 * Forwards callers' calls to the owners of their requests over the peer links, and serves calls
 * that peers forward:
 * `forwardClient.forward(ownerId, incarnation, fields, disconnectSignal)` returns its answer.
 *
 * @module
 */
export { ForwardClient } from './forward_client.js';
export type { ForwardClientOptions, ForwardFields } from './forward_client.js';
export { ForwardServer } from './forward_server.js';
export type { ForwardedAnswer, ForwardHandler, ForwardServerOptions } from './forward_server.js';
