/**
 * A run of a request content that ended with a crash.
 *
 * @module
 */
import { CrashState } from './crash_note.js';

/** Maximum number of client accounts kept per crash: two tell that it was not one alone. */
const MAX_ACCOUNTS_KEPT = 2;

/** One run that ended with a crash, in times of this process's monotonic clock. */
export interface SuspectRun {
  readonly crashId: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  state: CrashState;
  /** Whether the content was answered within a minute before the crash. */
  isVouched: boolean;
  /** Whether it was answered at about that time, by a run that began clearly before this one. */
  isExcused: boolean;
  /** Client accounts whose requests ran it there, two at most. */
  readonly accountIds: Set<string>;
}

/**
 * Merges a second crash note about a run into the known one.
 *
 * @param known - the known run, which is changed
 * @param run - what the note says
 * @returns whether the known run changed
 */
export function mergeRun(known: SuspectRun, run: SuspectRun): boolean {
  const isCleared = known.state !== CrashState.Cleared && run.state === CrashState.Cleared;
  const isVouched = !known.isVouched && run.isVouched;
  if (isCleared) Object.assign(known, { state: CrashState.Cleared });
  const isExcused = !known.isExcused && run.isExcused;
  if (isVouched) Object.assign(known, { isVouched });
  if (isExcused) Object.assign(known, { isExcused });
  const accountCount = known.accountIds.size;
  run.accountIds.forEach((id) => {
    if (known.accountIds.size < MAX_ACCOUNTS_KEPT) known.accountIds.add(id);
  });
  return isCleared || isVouched || isExcused || known.accountIds.size > accountCount;
}
