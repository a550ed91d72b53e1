/**
 * Times of a call, which its queue changes while the call waits.
 *
 * @module
 */
import { computeCallTimes } from './_call_times.js';
import type { CallSchedule } from './_call_times.js';
import type { DirectCallOptions } from './direct_call_options.js';

/** Base class of calls that wait for a slot. */
export abstract class TimedCall {
  readonly rank: number;

  /** Whether the caller is assumed to come back after an earlier rejection. */
  readonly isReturning: boolean;

  readonly #times: CallSchedule;

  #isLate: boolean;

  #isWaitFixed = false;

  #latestStartAtMs: number;

  /** @param options - the call and what it depends on */
  constructor(options: DirectCallOptions) {
    this.rank = options.rank;
    this.isReturning = options.isReturning;
    this.#isLate = options.isReturning;
    this.#times = computeCallTimes(options);
    this.#latestStartAtMs = this.#times.latestStartAtMs;
  }

  /** When the call arrived, in milliseconds of the monotonic clock. */
  get arrivedAtMs(): number {
    return this.#times.arrivedAtMs;
  }

  /** When the call times out: the earlier of the caller's deadline and the route's timeout. */
  get deadlineAtMs(): number {
    return this.#times.deadlineAtMs;
  }

  /** Until when its first event meets the target. */
  get targetAtMs(): number {
    return this.#times.targetAtMs;
  }

  /** Latest start after which that is likely. */
  get onTimeStartAtMs(): number {
    return this.#times.latestStartAtMs;
  }

  /** Time for which the call may go on when it begins, in milliseconds. */
  protected get timeLeftMs(): number {
    return this.#times.timeLeftMs;
  }

  /** Until when it may wait for a slot. */
  get latestStartAtMs(): number {
    return this.#latestStartAtMs;
  }

  /** Whether its target can't be met any more. */
  get isLate(): boolean {
    return this.#isLate;
  }

  /** Whether its wait has a limit of its own, as when it fails over to another server. */
  get isWaitFixed(): boolean {
    return this.#isWaitFixed;
  }

  /** Records that the target of the call has passed. */
  markLate(): void {
    this.#isLate = true;
  }

  /** @param latestStartAtMs - until when the call may wait, on the monotonic clock */
  adjustWait(latestStartAtMs: number): void {
    this.#latestStartAtMs = latestStartAtMs;
  }

  /** @param latestStartAtMs - until when the call may wait, whatever the outlook is */
  protected limitWait(latestStartAtMs: number): void {
    this.#latestStartAtMs = latestStartAtMs;
    this.#isWaitFixed = true;
  }
}
