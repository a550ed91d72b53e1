/**
 * Passes callers' calls on to the owners of their request IDs over the peer
 * links, and serves those that peers pass on:
 * `forwardClient.forward(ownerId, incarnation, fields, callerGone)` gives the owner's answer.
 *
 * @module
 */
export { ForwardClient } from './forward_client.js';
export type { ForwardClientOptions, ForwardFields } from './forward_client.js';
export { ForwardServer } from './forward_server.js';
export type { ForwardedAnswer, ForwardHandler, ForwardServerOptions } from './forward_server.js';
