/**
 * Paths from an entry host to the backend servers: which of them are cut while peers reach the
 * same servers, and how many requests a host sends for its peers:
 * `paths.isCut(id) ? sendThroughPeer(request) : send(request)`.
 *
 * @module
 */
export { mayProxy } from './may_proxy.js';
export { derivePathVerdict, hasReachingPeer, PathVerdict } from './path_verdict.js';
export type { PeerObservation } from './path_verdict.js';
export { ServerPaths } from './server_paths.js';
export { UrgencyGate } from './urgency_gate.js';
export type { GateBounds, GatedJob } from './urgency_gate.js';
