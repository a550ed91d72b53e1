/**
 * Links entry hosts over WebSockets, with messages encoded in msgpack.
 *
 * ```ts
 * const peers = new WsPeerNetwork({ ...options });
 * await peers.start();
 * peers.setAddresses(['ws://10.0.0.2:7000']);
 * ```
 *
 * @module
 */
export { WsPeerNetwork } from './ws_peer_network.js';
export type { WsPeerNetworkOptions } from './ws_peer_network_options.js';
