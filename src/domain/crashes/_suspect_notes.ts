/**
 * Builds the crash notices that other entry hosts receive about a content.
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
 * @returns one notice per run
 */
export function listNotices(suspect: Suspect, nowMs: number): CrashNote[] {
  return [...suspect.runs.values()]
    .sort((a, b) => Number(a.state === CrashState.Cleared) - Number(b.state === CrashState.Cleared))
    .map((run) => buildNotice(suspect, run, nowMs));
}

/**
 * @param suspect - a content
 * @param run - one of its runs
 * @param nowMs - monotonic time in milliseconds
 * @returns the notice for peers
 */
export function buildNotice(suspect: Suspect, run: SuspectRun, nowMs: number): CrashNote {
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
    isHeld: suspect.isHeld,
    startedAgoMs: nowMs - run.startedAtMs,
    endedAgoMs: nowMs - run.endedAtMs,
    seenAgoMs: nowMs - suspect.lastSeenAtMs,
    ...(trials.length > 0 ? { trials } : {}),
  };
}
