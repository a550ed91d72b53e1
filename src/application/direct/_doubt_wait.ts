/**
 * The wait of a call whose content is in doubt.
 *
 * @module
 */
import { computeDoubtWaitMs } from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { DirectCallOptions } from './direct_call_options.js';

/** Advice to callers whose time to wait is over, in milliseconds. */
const RETURN_MS = 1_000;

/** What becomes of the wait: one of both, at most once. */
export interface DoubtWaitHandlers {
  /** It may ask for leave again. */
  readonly onResume: () => void;
  /** @param error - what its caller hears */
  readonly onExpired: (error: SchedulerError) => void;
}

/** Waits while another request of the same content shows whether that ends servers. */
export class DoubtWait {
  readonly #end: () => void;

  /**
   * @param options - the call
   * @param endsAtMs - when its caller gives up, on the monotonic clock
   * @param handlers - what becomes of it
   */
  constructor(
    { services, contentId }: DirectCallOptions,
    endsAtMs: number,
    handlers: DoubtWaitHandlers,
  ) {
    const { clock, crashes } = services;
    const timer = clock.setTimer(computeDoubtWaitMs(endsAtMs - clock.nowMs()), () => {
      this.#end();
      handlers.onExpired(new SchedulerError(ErrorKind.QueueFull, { retryAfterMs: RETURN_MS }));
    });
    const cancel = crashes.waitForPass(contentId, () => {
      timer.cancel();
      handlers.onResume();
    });
    this.#end = () => {
      timer.cancel();
      cancel();
    };
  }

  /** Waits no more. */
  end(): void {
    this.#end();
  }
}
