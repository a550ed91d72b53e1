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

/** Maximum number of notes about one crash; callers may name any number of parts. */
const MAX_CRASH_NOTES = 512;

/** A possible cause of a crash, and its place among those of its run. */
interface CrashCause {
  readonly id: string;
  readonly place: number;
  readonly run: LostRun;
}

/**
 * Builds a note for each possible cause of a crash and each account: the contents of the runs that
 * broke with the server, and the parts of their prompts that other requests may share. Where there
 * are too many, the contents and the first parts of all runs go first.
 *
 * @param crashId - ID of the crash
 * @param runs - the runs
 * @param nowMs - monotonic time in milliseconds
 * @returns the notes, 512 at most
 */
export function buildCrashNotes(
  crashId: string,
  runs: readonly LostRun[],
  nowMs: number,
): CrashNote[] {
  const causes = runs.flatMap((run) => listCauses(run)).sort((a, b) => a.place - b.place);
  const byIdAndAccount = new Map(
    causes.map((cause) => [`${cause.id} ${cause.run.accountId ?? ''}`, cause]),
  );
  return [...byIdAndAccount.values()]
    .slice(0, MAX_CRASH_NOTES)
    .map((cause) => buildNote(crashId, cause, nowMs));
}

function listCauses(run: LostRun): CrashCause[] {
  return [run.contentId, ...(run.partIds ?? [])].map((id, place) => ({ id, place, run }));
}

function buildNote(crashId: string, { id, run }: CrashCause, nowMs: number): CrashNote {
  const { accountId, trial, startedAtMs, endedAtMs } = run;
  return {
    contentId: id,
    crashId,
    state: CrashState.Suspected,
    isHeld: false,
    ...(accountId === undefined ? {} : { accountIds: [accountId] }),
    startedAgoMs: nowMs - startedAtMs,
    endedAgoMs: nowMs - endedAtMs,
    seenAgoMs: nowMs - endedAtMs,
    ...(trial ? { trials: [{ id: trial.id, startedAgoMs: nowMs - trial.startedAtMs }] } : {}),
  };
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
