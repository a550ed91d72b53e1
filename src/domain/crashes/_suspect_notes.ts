/**
 * Builds the crash notes that other entry hosts receive about a content.
 *
 * @module
 */
import { CrashState } from './crash_note.js';
import type { CrashNote } from './crash_note.js';
import type { Suspect, SuspectRun } from './_suspect.js';

/**
 * Lists the runs that count against a content first, as hosts forget cleared ones sooner.
 *
 * @param suspect - the content
 * @param nowMs - monotonic time in milliseconds
 * @returns one crash note per run
 */
export function listNotes(suspect: Suspect, nowMs: number): CrashNote[] {
  return [...suspect.runs.values()]
    .sort((a, b) => Number(a.state === CrashState.Cleared) - Number(b.state === CrashState.Cleared))
    .map((run) => buildNote(suspect, run, nowMs));
}

/**
 * @param suspect - a content
 * @param run - one of its runs
 * @param nowMs - monotonic time in milliseconds
 * @returns the crash note for peers
 */
export function buildNote(suspect: Suspect, run: SuspectRun, nowMs: number): CrashNote {
  const trials = suspect.trials.map(({ id, startedAtMs, isVoid }) => ({
    id,
    startedAgoMs: nowMs - startedAtMs,
    ...(isVoid ? { isVoid } : {}),
  }));
  return {
    contentId: suspect.contentId,
    crashId: run.crashId,
    state: run.state,
    ...(run.isVouched ? { isVouched: true } : {}),
    ...(run.isExcused ? { isExcused: true } : {}),
    ...(run.accountIds.size > 0 ? { accountIds: [...run.accountIds] } : {}),
    isHeld: suspect.isHeld,
    startedAgoMs: nowMs - run.startedAtMs,
    endedAgoMs: nowMs - run.endedAtMs,
    seenAgoMs: nowMs - suspect.lastSeenAtMs,
    ...(trials.length > 0 ? { trials } : {}),
  };
}
