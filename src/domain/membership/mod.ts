/**
 * Membership rules without I/O: which entry hosts are live, which one is responsible for a
 * key, which backend servers are leaving, and whether this process may trust its view.
 * `pickByRendezvous('group-1', incarnations)` returns the same incarnation on every entry
 * host that knows the same incarnations.
 *
 * @module
 */
export { PeerState } from './types.js';
export type { EntryHostIdentity, EntryHostView } from './types.js';
export { pickByRendezvous, pickByWeight, sortByRendezvous } from './rendezvous.js';
export type { WeightedCandidate } from './rendezvous.js';
export { sortForCallers } from './caller_order.js';
export { HOST_LIST_PREFIX, HostRole, ListedHostState, parseListedHost } from './host_list.js';
export type { HostList, ListedHost, RawHostEntry } from './host_list.js';
export { StaleReadFilter } from './stale_read_filter.js';
export {
  LeavingBackendServers,
  LOAD_REPORT_LAG_MS,
  NOTE_STALE_AFTER_MS,
} from './leaving_backend_servers.js';
export { hasSameContents, PeerReports } from './peer_reports.js';
export type { PeerReport } from './peer_reports.js';
export { EntryHostTable } from './entry_host_table.js';
export type {
  AddedIncarnation,
  EntryHostRecord,
  EntryHostTableOptions,
} from './entry_host_table.js';
export { PauseDetector } from './pause_detector.js';
export type { PauseDetectorOptions } from './pause_detector.js';
