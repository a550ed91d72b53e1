/**
 * How entry hosts find and hear of each other when they are too many for everybody to
 * report to everybody: `pickRelays(hosts)` names those that pass reports on, and a
 * {@link Roster} keeps who is there by whose word.
 *
 * @module
 */
export { MAX_ADDRESSES, pickAddresses, pickNearHosts } from './pick_addresses.js';
export { MAX_MESH_HOSTS, pickRelays, rankRelays } from './relay_plan.js';
export type { PlannedHost } from './relay_plan.js';
export { Roster, SILENT_AFTER_MS } from './roster.js';
export type { RosterExpiry } from './roster.js';
export { ReportScope } from './types.js';
export type { HostState, RosterEntry } from './types.js';
