/**
 * Detects requests that crash the backend servers which run them. Entry hosts share their
 * observations, and each decides by them: `ledger.apply([note], nowMs);
 * ledger.isHeld(contentId)`.
 *
 * @module
 */
export { CrashLedger, SUSPECT_RETENTION_MS } from './crash_ledger.js';
export type { CrashLedgerOptions } from './crash_ledger.js';
export type { SuspectStateChange } from './suspect_state_change.js';
export { isClearedByAnswer } from './answer_evidence.js';
export { CrashState } from './crash_note.js';
export type { RequestScope } from './_hold_scope.js';
export type { CrashNote, TrialNote } from './crash_note.js';
export type { ProbationList } from './probation_list.js';
export { SuspectState } from './_suspect.js';
export type { Trial } from './_suspect.js';
export { computeNextStepAtMs, computeTurnAtMs } from './trial_schedule.js';
export type { TrialProgress } from './trial_schedule.js';
