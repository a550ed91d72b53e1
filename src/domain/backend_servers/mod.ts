/**
 * Backend servers as a registry tells of them and as requests show them: who may
 * be given work, what is in flight there, who is best for a request.
 * `pickServer(candidates, { work, nowMs, excluded, nextFraction, rivalry })`.
 *
 * @module
 */
export { pickServer } from './pick_server.js';
export type { Candidate, PickOptions, Rivalry } from './pick_server.js';
export { EntryEffect, LAPSED_GRACE_MS, ServerDirectory } from './server_directory.js';
export type { EntryResult } from './server_directory.js';
export { ServerLoad, ServerOutcome } from './server_load.js';
export type { RequestWork } from './server_load.js';
export { ROUND_MS, SlotShare } from './slot_share.js';
export { formatLife } from './types.js';
export type { BackendServerEntry } from './types.js';
