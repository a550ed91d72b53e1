/**
 * Which requests end the backend servers that run them. Entry hosts share what they have seen, and
 * each judges by it: `ledger.apply([note], nowMs); ledger.isHeld(contentId)`.
 *
 * @module
 */
export { CrashLedger, REMEMBERED_MS } from './crash_ledger.js';
export type { CrashLedgerOptions, Verdict } from './crash_ledger.js';
export { CrashState } from './crash_note.js';
export type { CrashNote, TrialNote } from './crash_note.js';
export type { DoubtList } from './doubt_list.js';
export { SuspectState } from './_suspect.js';
export { computeNextStepMs, computeTurnMs } from './trial_plan.js';
export type { Doubt } from './trial_plan.js';
