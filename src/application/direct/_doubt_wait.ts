/**
 * The wait of a call whose content is in doubt.
 *
 * @module
 */
import { computeDoubtWaitMs } from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { DirectCallOptions } from './direct_call_options.js';

/** Advice to callers whose time to wait is over, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** What becomes of the wait: one of both, at most once. */
export interface SuspectWaitHandlers {
  /** It may ask for leave again. */
  readonly onResume: () => void;
  /** @param error - what its caller hears */
  readonly onExpired: (error: SchedulerError) => void;
}

/** Waits while another request of the same content shows whether that ends servers. */
export class SuspectWait {
  readonly #cancel: () => void;

  /**
   * @param options - the call
   * @param deadlineAtMs - when its caller gives up, on the monotonic clock
   * @param handlers - what becomes of it
   */
  constructor(
    { services, contentId }: DirectCallOptions,
    deadlineAtMs: number,
    handlers: SuspectWaitHandlers,
  ) {
    const { clock, crashes } = services;
    const timer = clock.setTimer(computeDoubtWaitMs(deadlineAtMs - clock.nowMs()), () => {
      this.#cancel();
      handlers.onExpired(new SchedulerError(ErrorKind.QueueFull, { retryAfterMs: RETRY_AFTER_MS }));
    });
    const cancelPassWait = crashes.waitForPass(contentId, () => {
      timer.cancel();
      handlers.onResume();
    });
    this.#cancel = () => {
      timer.cancel();
      cancelPassWait();
    };
  }

  /** Waits no more. */
  cancel(): void {
    this.#cancel();
  }
}
