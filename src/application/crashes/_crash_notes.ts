/**
 * Builds the notes of a crash, and reads those of others.
 *
 * @module
 */
import { CrashState } from '../../domain/crashes/mod.js';
import type { CrashNote } from '../../domain/crashes/mod.js';
import type { LostRun } from './crash_detector.js';

/**
 * Age up to which a crash tells anything about the process at the server's address, in
 * milliseconds. An older crash may concern a server that has restarted there since.
 */
const RECENT_CRASH_MS = 500;

/**
 * Builds a note for each possible cause of a crash and each run: the contents of the runs that broke with the
 * server, and the parts of their prompts that other requests may share.
 *
 * @param crashId - ID of the crash
 * @param runs - the runs
 * @param nowMs - monotonic time in milliseconds
 * @returns the notes
 */
export function buildCrashNotes(
  crashId: string,
  runs: readonly LostRun[],
  nowMs: number,
): CrashNote[] {
  return runs.flatMap(({ contentId, partIds = [], accountId, trial, startedAtMs, endedAtMs }) =>
    [contentId, ...partIds].map((causeId) => ({
      contentId: causeId,
      crashId,
      state: CrashState.Suspected,
      isHeld: false,
      ...(accountId === undefined ? {} : { accountIds: [accountId] }),
      startedAgoMs: nowMs - startedAtMs,
      endedAgoMs: nowMs - endedAtMs,
      seenAgoMs: nowMs - endedAtMs,
      ...(trial ? { trials: [{ id: trial.id, startedAgoMs: nowMs - trial.startedAtMs }] } : {}),
    })),
  );
}

/**
 * @param notes - crash notes
 * @returns IDs of recent crashes that the notes suspect a content or part of
 */
export function listRecentCrashIds(notes: readonly CrashNote[]): string[] {
  const recent = notes.filter(
    ({ state, endedAgoMs }) => state === CrashState.Suspected && endedAgoMs < RECENT_CRASH_MS,
  );
  return [...new Set(recent.map(({ crashId }) => crashId))];
}
