/**
 * Makes a call wait while its content is on probation.
 *
 * @module
 */
import { computeMaxProbationWaitMs } from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { DirectCallOptions } from './direct_call_options.js';

/** Retry-after time of callers whose wait expired, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Handlers for the end of the wait. At most one of them is called, and only once. */
export interface ProbationWaitHandlers {
  /** Called when the call may request a permit again. */
  readonly onResume: () => void;
  /** @param error - refusal to send to the caller */
  readonly onExpired: (error: SchedulerError) => void;
}

/**
 * Waits while another request with the same content runs as a trial, which shows whether the
 * content crashes backend servers.
 */
export class ProbationWait {
  readonly #cancel: () => void;

  /**
   * @param options - the call
   * @param deadlineAtMs - when the call times out, on the monotonic clock in milliseconds
   * @param handlers - called at the end of the wait
   */
  constructor(
    { services, contentId, details }: DirectCallOptions,
    deadlineAtMs: number,
    handlers: ProbationWaitHandlers,
  ) {
    const { clock, crashes } = services;
    const timer = clock.setTimer(computeMaxProbationWaitMs(deadlineAtMs - clock.nowMs()), () => {
      this.#cancel();
      handlers.onExpired(new SchedulerError(ErrorKind.QueueFull, { retryAfterMs: RETRY_AFTER_MS }));
    });
    const resume = (): void => {
      timer.cancel();
      handlers.onResume();
    };
    const cancelPassWait = crashes.waitForPermit(contentId, resume, details);
    this.#cancel = () => {
      timer.cancel();
      cancelPassWait();
    };
  }

  /** Cancels the wait. Neither handler is called afterwards. */
  cancel(): void {
    this.#cancel();
  }
}
