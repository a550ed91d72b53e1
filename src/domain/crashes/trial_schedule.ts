/**
 * Schedules the trials of a content on probation across the entry hosts.
 *
 * @module
 */

/** Maximum number of trials per content. Each one may crash a server. */
export const MAX_TRIALS = 3;

/**
 * Time from the start of the probation to the first trial, in milliseconds. By then, most
 * contents that ran at the same crashes have been answered elsewhere, which may make the trial
 * unnecessary.
 */
const FIRST_TRIAL_DELAY_MS = 600;

/**
 * Time from each trial to the next one, in milliseconds. The last trial is delayed longer, so
 * that unrelated trouble may be over by then.
 */
const NEXT_TRIAL_DELAYS_MS = [800, 4_000];

/**
 * Time that the last trial has for its answer, in milliseconds: a long stream takes that long.
 */
const LAST_TRIAL_TIMEOUT_MS = 10_000;

/**
 * Delay until the next entry hosts may start a trial, in milliseconds: by then they have heard of
 * a trial of the previous ones.
 */
const TURN_STEP_MS = 250;

/** Progress of a content's probation. */
export interface TrialProgress {
  /** When the probation started. */
  readonly sinceMs: number;
  /** Number of trials since then. */
  readonly trialCount: number;
  /** When the last trial started; undefined before the first one. */
  readonly lastTrialAtMs: number | undefined;
}

/**
 * @param progress - progress of a content's trials
 * @returns the earliest time of the next trial; Infinity once the trials are used up
 */
export function computeNextTrialAtMs({
  sinceMs,
  trialCount,
  lastTrialAtMs,
}: TrialProgress): number {
  if (lastTrialAtMs === undefined) return sinceMs + FIRST_TRIAL_DELAY_MS;
  return lastTrialAtMs + (NEXT_TRIAL_DELAYS_MS[trialCount - 1] ?? Infinity);
}

/**
 * @param progress - progress of a content's trials
 * @returns when the next trial is due, or when the last one counts as unanswered
 */
export function computeNextStepAtMs(progress: TrialProgress): number {
  const { trialCount, lastTrialAtMs = Infinity } = progress;
  return trialCount < MAX_TRIALS
    ? computeNextTrialAtMs(progress)
    : lastTrialAtMs + LAST_TRIAL_TIMEOUT_MS;
}

/**
 * Computes when an entry host may start the next trial. The first host may do so at once, and
 * after each delay the number of hosts that may doubles. Thus a content requested on many hosts
 * is tried by one of the first, and one requested on a single host is tried there soon as well.
 *
 * @param progress - progress of the content's trials
 * @param askedAtMs - since when the content is requested on this entry host
 * @param rank - position of this entry host in the order for this trial, from 0
 * @returns the time, in milliseconds
 */
export function computeTurnAtMs(progress: TrialProgress, askedAtMs: number, rank: number): number {
  const steps = Math.ceil(Math.log2(rank + 1));
  return Math.max(computeNextTrialAtMs(progress), askedAtMs) + steps * TURN_STEP_MS;
}
