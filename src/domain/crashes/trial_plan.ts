/**
 * When a content in doubt is tried, and by which entry host.
 *
 * @module
 */

/** Most trials of a content. Each may end a server. */
export const MAX_TRIALS = 3;

/**
 * Time from the doubt to the first trial, in milliseconds. What ran beside the content is
 * mostly answered elsewhere by then, which may tell without a trial.
 */
const FIRST_PAUSE_MS = 600;

/** Time from each trial to the next, in milliseconds. The last comes when other trouble may be over. */
const NEXT_PAUSES_MS = [800, 4_000];

/** Time that the last trial has to be answered, in milliseconds: a long stream takes as long. */
const LAST_RESULT_MS = 10_000;

/**
 * Pause before the next entry hosts may begin a trial, in milliseconds: word of the trial of
 * those before has come by then.
 */
const STEP_MS = 250;

/** What is known of a doubt. */
export interface Doubt {
  /** When it arose. */
  readonly sinceMs: number;
  /** Trials since. */
  readonly trialCount: number;
  /** When the last of them began; undefined before the first. */
  readonly lastTrialAtMs: number | undefined;
}

/**
 * @param doubt - about a content
 * @returns from when on it may be tried again; Infinity once the trials are used up
 */
export function computeTrialFromMs({ sinceMs, trialCount, lastTrialAtMs }: Doubt): number {
  if (lastTrialAtMs === undefined) return sinceMs + FIRST_PAUSE_MS;
  return lastTrialAtMs + (NEXT_PAUSES_MS[trialCount - 1] ?? Infinity);
}

/**
 * @param doubt - about a content
 * @returns when the next trial is due, or the last one is taken not to be answered any more
 */
export function computeNextStepMs(doubt: Doubt): number {
  const { trialCount, lastTrialAtMs = Infinity } = doubt;
  return trialCount < MAX_TRIALS ? computeTrialFromMs(doubt) : lastTrialAtMs + LAST_RESULT_MS;
}

/**
 * Computes when an entry host may try. The first in line may at once; after each step the number of
 * those that may doubles. A content that is asked for often is tried by one of the first, and one
 * that is asked for at a single entry host is tried there soon, too.
 *
 * @param doubt - about a content
 * @param askedAtMs - since when it is asked for at this entry host
 * @param rank - place of this entry host in line for this trial, from 0
 * @returns the time, in milliseconds
 */
export function computeTurnMs(doubt: Doubt, askedAtMs: number, rank: number): number {
  const steps = Math.ceil(Math.log2(rank + 1));
  return Math.max(computeTrialFromMs(doubt), askedAtMs) + steps * STEP_MS;
}
