/**
 * What the ends under which a content ran say about it.
 *
 * @module
 */
import type { EndCounts } from './_end_counts.js';
import { countInTurn, CRASHES_TO_DOUBT, SuspectState } from './_suspect.js';
import type { Suspect, SuspectRun, Trial } from './_suspect.js';
import { computeNextStepMs, MAX_TRIALS } from './trial_plan.js';
import type { Doubt } from './trial_plan.js';

/** Crashes, one after the other and of its own, that need no trial to hold a content. */
const CRASHES_TO_HOLD = 3;

/**
 * Ends of its own, one of them under a trial, that hold a content while servers also end without
 * it: one may end by itself under a trial. While none does, the trial's end is enough.
 */
const ENDS_TO_PROVE_AMID_OTHERS = 2;

/** By how much times of two notes may differ that came from different entry hosts, in milliseconds. */
const NOTE_TOLERANCE_MS = 250;

/**
 * Time after which a content that ran at one end only, and has not come back to end another server,
 * is an unlikely cause of that one, in milliseconds.
 */
const LONE_RIVAL_MS = 600;

/** Servers that end within this time of each other, as those of one rack, end by one accident, in milliseconds. */
const SAME_MOMENT_MS = 30;

/** What is known of all ends when a judgement is made. */
export interface Evidence {
  readonly counts: EndCounts;
  readonly nowMs: number;
  /** How long word of what else ran at an end may take to come, in milliseconds. */
  readonly settleMs: number;
}

/**
 * Lists the trials that count: those since the third of the ends that speak against a content.
 *
 * @param suspect - a content
 * @returns its trials, in the order in which they began
 */
export function listTrials(suspect: Suspect): readonly Trial[] {
  const third = suspect.listSuspected()[CRASHES_TO_DOUBT - 1];
  if (!third) return [];
  const sinceMs = third.endedAtMs - NOTE_TOLERANCE_MS;
  return suspect.trials.filter(({ startedAtMs, isVoid }) => startedAtMs > sinceMs && !isVoid);
}

/**
 * @param suspect - a content in doubt
 * @returns what is known of the doubt
 */
export function readDoubt(suspect: Suspect): Doubt {
  const trials = listTrials(suspect);
  return {
    sinceMs: suspect.doubtedAtMs,
    trialCount: trials.length,
    lastTrialAtMs: trials.at(-1)?.startedAtMs,
  };
}

/**
 * Judges a content. Three ends put it in doubt, whatever else ran there. It is held once several
 * ends in turn are most likely its doing, once a server has ended under a trial of it and nothing
 * else is likely to have caused that, and when the trials are used up and none was
 * answered.
 *
 * @param suspect - a content
 * @param evidence - what is known of all ends
 * @returns what may be sent of it
 */
export function deriveState(suspect: Suspect, evidence: Evidence): SuspectState {
  const ends = suspect.listSuspected();
  if (ends.length < CRASHES_TO_DOUBT) return SuspectState.Free;
  if (suspect.isHeld) return SuspectState.Held;
  const { nowMs, settleMs } = evidence;
  const settled = ends.filter(({ endedAtMs }) => endedAtMs <= nowMs - settleMs);
  const mustHold =
    isProvenByWatching(suspect, settled, evidence) ||
    isProvenByTrial(suspect, settled, evidence) ||
    isUsedUp(suspect, nowMs);
  return mustHold ? SuspectState.Held : SuspectState.Doubted;
}

/**
 * Counts the ends that nothing else is likely to have caused.
 *
 * @param suspect - a content
 * @param counts - of all ends
 * @returns how many there are
 */
export function countOwnEnds(suspect: Suspect, counts: EndCounts): number {
  return listOwnEnds(suspect, suspect.listSuspected(), counts).length;
}

/**
 * Three ends decide that nothing else is likely to have caused, or four of which one is its own and
 * none is another's that came back. What was answered shortly before is held after a trial only.
 */
function isProvenByWatching(
  suspect: Suspect,
  ends: readonly SuspectRun[],
  { counts, nowMs }: Evidence,
): boolean {
  const counted = ends.filter(({ isVouched }) => !isVouched);
  const hasLoneRivals = ({ crashId }: SuspectRun): boolean =>
    counts.countRepeaters(suspect, crashId) === 0;
  const own = listOwnEnds(suspect, counted, counts);
  const likely = counted.filter(
    (run) => nowMs - run.endedAtMs > LONE_RIVAL_MS && hasLoneRivals(run),
  );
  const isUnlike = own.length > 0 && counted.every(hasLoneRivals);
  return (
    countInTurn(own) >= CRASHES_TO_HOLD ||
    countInTurn(likely) >= CRASHES_TO_HOLD ||
    (isUnlike && countInTurn(counted) > CRASHES_TO_HOLD)
  );
}

function isProvenByTrial(
  suspect: Suspect,
  ends: readonly SuspectRun[],
  { counts }: Evidence,
): boolean {
  const [first] = listTrials(suspect);
  if (!first) return false;
  const sinceMs = first.startedAtMs - NOTE_TOLERANCE_MS;
  const own = listOwnEnds(suspect, ends, counts);
  const tried = own
    .filter((run) => ends.indexOf(run) >= CRASHES_TO_DOUBT && run.startedAtMs >= sinceMs)
    .filter((run) => !counts.hasEndedTogether(run, SAME_MOMENT_MS));
  const needed = counts.hasEndWithout(suspect) ? ENDS_TO_PROVE_AMID_OTHERS : 1;
  return tried.length > 0 && countInTurn(own) >= needed;
}

function listOwnEnds(
  suspect: Suspect,
  ends: readonly SuspectRun[],
  counts: EndCounts,
): SuspectRun[] {
  return ends.filter(({ crashId }) => counts.countRivals(suspect, crashId) === 0);
}

function isUsedUp(suspect: Suspect, nowMs: number): boolean {
  const doubt = readDoubt(suspect);
  return doubt.trialCount >= MAX_TRIALS && nowMs >= computeNextStepMs(doubt);
}
