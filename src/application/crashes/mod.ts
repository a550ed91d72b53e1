/**
 * Detects and quarantines contents that crash backend servers, together with all entry hosts:
 * `quarantine.recordLostRun(run)`, `quarantine.recordAnswer(run)`,
 * `quarantine.findRefusal(contentId)`.
 *
 * @module
 */
export { CrashQuarantine } from './crash_quarantine.js';
export type { AnsweredRun, CrashQuarantineOptions } from './crash_quarantine.js';
export { CrashPaths } from './crash_paths.js';
export { formatAddress } from './format_address.js';
export { isSuccess } from './is_success.js';
export { MeshCrashPaths } from './mesh_crash_paths.js';
export { PermitKind } from './_trial_queue.js';
export type { Permit } from './_trial_queue.js';
export type { LostRun } from './crash_detector.js';
export type { RequestDetails } from './request_details.js';
