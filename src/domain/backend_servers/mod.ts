/**
 * Registry entries, load tracking and selection of backend servers:
 * `pickServer(candidates, { work, nowMs, excluded, nextFraction, ... })`.
 *
 * @module
 */
export { mayServe, pickServer } from './pick_server.js';
export type { Candidate, PickOptions, ServerLimits, SlotContention } from './pick_server.js';
export { EntryEffect, EXPIRED_ENTRY_GRACE_MS, ServerDirectory } from './server_directory.js';
export type { EntryResult } from './server_directory.js';
export { ServerOutcome } from './request_work.js';
export type { RequestWork, SendConditions } from './request_work.js';
export { ServerLoad } from './server_load.js';
export { computeMedianSpeed } from './median_speed.js';
export type { SharedSpeed } from './shared_speed.js';
export { decodeSpeeds, encodeSpeeds, hashIncarnation } from './speed_codec.js';
export { computeDecay } from './speed_evidence.js';
export type { SpeedSums } from './speed_evidence.js';
export { SpeedTable } from './speed_table.js';
export type { SpeedEstimate } from '../scheduling/server_speed.js';
export { REPORT_DELAY_MS, SlotShare } from './slot_share.js';
export { countVersions } from './count_versions.js';
export { formatIncarnationId } from './backend_server_entry.js';
export type { BackendServerEntry } from './backend_server_entry.js';
