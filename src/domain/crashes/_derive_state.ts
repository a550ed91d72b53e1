/**
 * Decides from the observed crashes whether a request content may be sent.
 *
 * @module
 */
import type { CrashSuspectCounts } from './_crash_suspect_counts.js';
import { countConsecutive } from './_count_consecutive.js';
import { MIN_CRASHES_FOR_PROBATION, SuspectState } from './_suspect.js';
import type { Suspect, SuspectRun, Trial } from './_suspect.js';
import { computeNextStepAtMs, MAX_TRIALS } from './trial_schedule.js';
import type { TrialProgress } from './trial_schedule.js';

/** Consecutive crashes with no other likely cause that quarantine a content without a trial. */
const MIN_CRASHES_TO_QUARANTINE = 3;

/**
 * Crashes with no other suspect, at least one of them in a trial, that quarantine a content while
 * servers also crash without it: a server may crash for another reason during a trial. If no
 * server crashes without the content, the crash in the trial is enough.
 */
const MIN_CRASHES_AMID_UNRELATED = 2;

/**
 * Largest expected difference between times in crash notes from different entry hosts, in
 * milliseconds.
 */
const NOTE_TIME_TOLERANCE_MS = 250;

/**
 * Time after which a content that ran at only one crash, and has not returned to crash another
 * server, is an unlikely cause of that crash, in milliseconds.
 */
const SINGLE_CRASH_SUSPECT_MS = 600;

/**
 * Time within which crashes of several servers, such as those of one rack, are put down to one
 * external cause, in milliseconds.
 */
const SIMULTANEOUS_CRASH_MS = 30;

/** What is known of all crashes at the time of a decision. */
export interface Evidence {
  readonly counts: CrashSuspectCounts;
  readonly nowMs: number;
  /**
   * Time that crash notes about other runs at a crash may take to arrive, in milliseconds. Crashes
   * younger than this don't count yet.
   */
  readonly noteDelayMs: number;
}

/**
 * Lists the trials that count: those that ran and started after the third crash that counts
 * against the content.
 *
 * @param suspect - a content
 * @returns its trials, in order of their start
 */
export function listCountedTrials(suspect: Suspect): readonly Trial[] {
  const thirdRun = suspect.listSuspectedRuns()[MIN_CRASHES_FOR_PROBATION - 1];
  if (!thirdRun) return [];
  const sinceMs = thirdRun.endedAtMs - NOTE_TIME_TOLERANCE_MS;
  return suspect.trials.filter(({ startedAtMs, isVoid }) => startedAtMs > sinceMs && !isVoid);
}

/**
 * @param suspect - a content or part on probation, or a quarantined one, of which only the trials
 *   since then count
 * @returns the progress of its trials
 */
export function readTrialProgress(suspect: Suspect): TrialProgress {
  const trials = listCountedTrials(suspect).filter(
    ({ startedAtMs }) => !suspect.isHeld || startedAtMs > suspect.heldSinceMs,
  );
  return {
    sinceMs: suspect.isHeld ? suspect.heldSinceMs : suspect.probationStartedAtMs,
    trialCount: trials.length,
    lastTrialAtMs: trials.at(-1)?.startedAtMs,
  };
}

/**
 * Decides what may be sent of a content. Three crashes put it on probation, whatever else ran
 * there. It is quarantined once several consecutive crashes most likely have no other cause, once
 * a server crashes in a trial of the content with no other likely cause, or once all trials are
 * used up without an answer.
 *
 * @param suspect - a content
 * @param evidence - what is known of all crashes
 * @returns the new state
 */
export function deriveState(suspect: Suspect, evidence: Evidence): SuspectState {
  const runs = suspect.listSuspectedRuns();
  if (!suspect.needsProbation) return SuspectState.Free;
  if (suspect.isHeld) return SuspectState.Quarantined;
  const { nowMs, noteDelayMs } = evidence;
  const countedRuns = runs.filter(({ endedAtMs }) => endedAtMs <= nowMs - noteDelayMs);
  const mustQuarantine =
    isProvenByCrashes(suspect, countedRuns, evidence) ||
    isProvenByTrial(suspect, countedRuns, evidence) ||
    hasExhaustedTrials(suspect, nowMs);
  return mustQuarantine ? SuspectState.Quarantined : SuspectState.Probation;
}

/**
 * Counts the crashes that have no other suspect.
 *
 * @param suspect - a content
 * @param counts - suspects of each crash
 * @returns the number of such crashes
 */
export function countSoleSuspectRuns(suspect: Suspect, counts: CrashSuspectCounts): number {
  return listSoleSuspectRuns(suspect, suspect.listSuspectedRuns(), counts).length;
}

/**
 * Quarantine without a trial takes three consecutive crashes with no other likely cause, or four
 * of which at least one has no other suspect and none has another suspect that also ran at other
 * crashes. Crashes shortly after an answer to the content don't count here: such a content is
 * quarantined only after a trial.
 */
function isProvenByCrashes(
  suspect: Suspect,
  runs: readonly SuspectRun[],
  { counts, nowMs }: Evidence,
): boolean {
  const counted = runs.filter(({ isVouched }) => !isVouched);
  const hasNoRepeatSuspects = ({ crashId }: SuspectRun): boolean =>
    counts.countOtherRepeatSuspects(suspect, crashId) === 0;
  const soleSuspectRuns = listSoleSuspectRuns(suspect, counted, counts);
  const likelyRuns = counted.filter(
    (run) => nowMs - run.endedAtMs > SINGLE_CRASH_SUSPECT_MS && hasNoRepeatSuspects(run),
  );
  const isMostLikelyCause = soleSuspectRuns.length > 0 && counted.every(hasNoRepeatSuspects);
  return (
    countConsecutive(soleSuspectRuns) >= MIN_CRASHES_TO_QUARANTINE ||
    countConsecutive(likelyRuns) >= MIN_CRASHES_TO_QUARANTINE ||
    (isMostLikelyCause && countConsecutive(counted) > MIN_CRASHES_TO_QUARANTINE)
  );
}

function isProvenByTrial(
  suspect: Suspect,
  runs: readonly SuspectRun[],
  { counts }: Evidence,
): boolean {
  const [firstTrial] = listCountedTrials(suspect);
  if (!firstTrial) return false;
  const sinceMs = firstTrial.startedAtMs - NOTE_TIME_TOLERANCE_MS;
  const soleSuspectRuns = runs.filter(
    ({ crashId }) => counts.countSuspectsOfOtherRequests(suspect, crashId) === 0,
  );
  const trialRuns = soleSuspectRuns
    .filter((run) => runs.indexOf(run) >= MIN_CRASHES_FOR_PROBATION && run.startedAtMs >= sinceMs)
    .filter((run) => !counts.hasSimultaneousCrash(run, SIMULTANEOUS_CRASH_MS));
  const requiredCount = counts.hasCrashWithout(suspect) ? MIN_CRASHES_AMID_UNRELATED : 1;
  return trialRuns.length > 0 && countConsecutive(soleSuspectRuns) >= requiredCount;
}

function listSoleSuspectRuns(
  suspect: Suspect,
  runs: readonly SuspectRun[],
  counts: CrashSuspectCounts,
): SuspectRun[] {
  return runs.filter(({ crashId }) => counts.countOtherSuspects(suspect, crashId) === 0);
}

function hasExhaustedTrials(suspect: Suspect, nowMs: number): boolean {
  const progress = readTrialProgress(suspect);
  return progress.trialCount >= MAX_TRIALS && nowMs >= computeNextStepAtMs(progress);
}
