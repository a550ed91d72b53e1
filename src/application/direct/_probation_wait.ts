/**
 * Makes a call wait while its content is on probation.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { DirectCallOptions } from './direct_call_options.js';

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
   * @param untilMs - latest useful start of the call, on the monotonic clock in milliseconds
   * @param handlers - called at the end of the wait
   */
  constructor(
    { services, contentId, details }: DirectCallOptions,
    untilMs: number,
    handlers: ProbationWaitHandlers,
  ) {
    const { clock, crashes } = services;
    const timer = clock.setTimer(Math.max(0, untilMs - clock.nowMs()), () => {
      this.#cancel();
      handlers.onExpired(new SchedulerError(ErrorKind.QueueFull));
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
