/**
 * How often a call was sent, and whether it may be sent again.
 *
 * @module
 */
import type { Route } from '../../domain/routing/mod.js';
import type { Clock } from '../../ports/mod.js';

/** Most backend servers that are tried where none of them has run the request. */
const MAX_UNRUN_ATTEMPTS = 4;

/** Least time left that another backend server is worth trying for, in milliseconds. */
const MIN_RETRY_TIME_LEFT_MS = 40;

/** Least part of a call's time that must be left for it to be a trial. */
const MIN_TRIAL_TIME_FRACTION = 0.4;

/** When a call came, and when its caller or the route's timeout ends it. */
export interface CallTimes {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Counts the tries of one call. */
export class AttemptBudget {
  readonly #times: CallTimes;

  readonly #route: Route;

  readonly #clock: Clock;

  #count = 0;

  #runCount = 0;

  /**
   * @param times - of the call
   * @param route - whose bounds hold
   * @param clock - the clock
   */
  constructor(times: CallTimes, route: Route, clock: Clock) {
    this.#times = times;
    this.#route = route;
    this.#clock = clock;
  }

  /** How often it was sent. */
  get count(): number {
    return this.#count;
  }

  /** Whether any backend server may have run it. */
  get mayHaveRun(): boolean {
    return this.#runCount > 0;
  }

  /** Time that its caller still waits, in milliseconds. */
  get timeLeftMs(): number {
    return this.#times.deadlineAtMs - this.#clock.nowMs();
  }

  /** Whether its caller waits long enough for a trial of its content to show something. */
  get hasTimeForTrial(): boolean {
    const { arrivedAtMs, deadlineAtMs } = this.#times;
    return this.timeLeftMs >= (deadlineAtMs - arrivedAtMs) * MIN_TRIAL_TIME_FRACTION;
  }

  /** It is sent. */
  noteSent(): void {
    this.#count += 1;
    this.#runCount += 1;
  }

  /** The last try has not run. */
  noteNotRun(): void {
    this.#runCount -= 1;
  }

  /** @returns whether another backend server may run it again */
  mayRunAgain(): boolean {
    const { isRepeatable, isResumable, maxAttempts } = this.#route;
    const isAllowed = isRepeatable || isResumable;
    return isAllowed && this.#runCount < maxAttempts && this.timeLeftMs > MIN_RETRY_TIME_LEFT_MS;
  }

  /** @returns whether it may be sent again where the last try has not run */
  maySendAgain(): boolean {
    return this.#count < MAX_UNRUN_ATTEMPTS;
  }
}
