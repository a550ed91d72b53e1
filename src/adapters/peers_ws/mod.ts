/**
 * Links between entry hosts over web sockets, with messages in msgpack.
 * `const peers = new WsPeerNetwork({...}); await peers.start();`, then use it as
 * a `PeerNetwork`.
 *
 * @module
 */
export { WsPeerNetwork } from './ws_peer_network.js';
export type { WsPeerNetworkOptions } from './ws_peer_network_options.js';
