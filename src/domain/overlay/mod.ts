/**
 * Membership of entry hosts when there are too many for a full mesh of reports:
 * `pickRelays(hosts)` picks the hosts that relay reports, and a {@link Roster} tracks which
 * hosts are heard and which processes report them.
 *
 * @module
 */
export {
  MAX_ADDRESSES,
  pickAddresses,
  pickNearbyHosts,
  pickReachingHosts,
} from './pick_addresses.js';
export { MAX_MESH_HOSTS, pickRelays, rankRelays } from './relay_plan.js';
export type { PlannedHost } from './relay_plan.js';
export { Roster, PEER_TIMEOUT_MS } from './roster.js';
export type { RosterExpiry } from './roster.js';
export { ReportScope } from './types.js';
export type { HostState, OwnState, RosterEntry } from './types.js';
