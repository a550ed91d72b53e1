/**
 * Counts the attempts of a call and decides whether it may be sent again.
 *
 * @module
 */
import type { Route } from '../../domain/routing/mod.js';
import type { Clock } from '../../ports/mod.js';

/** Maximum number of attempts at different backend servers while none of them ran the request. */
const MAX_UNRUN_ATTEMPTS = 4;

/** Minimum time left for which a retry at another backend server is useful, in milliseconds. */
const MIN_RETRY_TIME_LEFT_MS = 40;

/**
 * Fraction of a call's total time that must be left for the call to serve as a trial of its
 * content.
 */
const MIN_TRIAL_TIME_FRACTION = 0.4;

/** Start and end of a call's time, in milliseconds of the monotonic clock. */
export interface CallTimes {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Counts the attempts of one call against the limits of its route. */
export class AttemptBudget {
  readonly #times: CallTimes;

  readonly #route: Route;

  readonly #clock: Clock;

  #count = 0;

  #runCount = 0;

  /**
   * @param times - when the call arrived and when it times out
   * @param route - the call's route, with its retry limits
   * @param clock - provides monotonic time
   */
  constructor(times: CallTimes, route: Route, clock: Clock) {
    this.#times = times;
    this.#route = route;
    this.#clock = clock;
  }

  /** Number of attempts so far. */
  get count(): number {
    return this.#count;
  }

  /** Whether any backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.#runCount > 0;
  }

  /** Time left until the call's deadline, in milliseconds. */
  get timeLeftMs(): number {
    return this.#times.deadlineAtMs - this.#clock.nowMs();
  }

  /** Whether enough time is left for a trial of the call's content to give a result. */
  get hasTimeForTrial(): boolean {
    const { arrivedAtMs, deadlineAtMs } = this.#times;
    return this.timeLeftMs >= (deadlineAtMs - arrivedAtMs) * MIN_TRIAL_TIME_FRACTION;
  }

  /** Counts an attempt, which may run the request until {@link recordNotRun} says otherwise. */
  recordSent(): void {
    this.#count += 1;
    this.#runCount += 1;
  }

  /** Records that one of the attempts did not run the request. */
  recordNotRun(): void {
    this.#runCount -= 1;
  }

  /** @returns whether the call may be retried after an attempt that may have run the request */
  mayRunAgain(): boolean {
    const { isRepeatable, isResumable, maxAttempts } = this.#route;
    const isAllowed = isRepeatable || isResumable;
    return isAllowed && this.#runCount < maxAttempts && this.timeLeftMs > MIN_RETRY_TIME_LEFT_MS;
  }

  /** @returns whether the call may be sent again after an attempt that did not run the request */
  maySendAgain(): boolean {
    return this.#count < MAX_UNRUN_ATTEMPTS;
  }
}
