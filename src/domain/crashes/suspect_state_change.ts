/**
 * Changes of what may be sent of a content or part.
 *
 * @module
 */
import type { Suspect, SuspectState } from './_suspect.js';

/** Change of what may be sent of a content. */
export interface SuspectStateChange {
  readonly contentId: string;
  readonly state: SuspectState;
  /** Whether the content is quarantined. */
  readonly isHeld: boolean;
  /** IDs of the crashes that count against the content, in order. */
  readonly crashIds: readonly string[];
  /** Time since each of them, in milliseconds. */
  readonly crashedAgoMs: readonly number[];
  /** Client accounts whose requests ran it there, as far as known; two at most at each crash. */
  readonly accountIds: readonly string[];
  /** Number of its trials. */
  readonly trialCount: number;
}

/**
 * @param suspect - a content or part whose state has just changed
 * @param nowMs - monotonic time in milliseconds
 * @returns the change, and what speaks for it
 */
export function buildStateChange(suspect: Suspect, nowMs: number): SuspectStateChange {
  const { contentId, state, isHeld, trials } = suspect;
  const runs = suspect.listSuspectedRuns();
  return {
    contentId,
    state,
    isHeld,
    crashIds: runs.map(({ crashId }) => crashId),
    crashedAgoMs: runs.map(({ endedAtMs }) => Math.round(nowMs - endedAtMs)),
    accountIds: suspect.listAccountIds(),
    trialCount: trials.filter(({ isVoid }) => !isVoid).length,
  };
}
