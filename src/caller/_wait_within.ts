/**
 * Waits with a limit.
 *
 * @module
 */
import type { Clock } from '../ports/mod.js';

/** Nothing came within the limit. */
export class WaitTimeoutError extends Error {
  override readonly name = 'SilenceError';

  /** @param timeoutMs - the limit in milliseconds */
  constructor(timeoutMs: number) {
    super(`nothing came within ${timeoutMs} ms`);
  }
}

/**
 * Waits for a step, but not longer than a limit. The step itself goes on.
 *
 * @param step - what to wait for
 * @param clock - the clock
 * @param timeoutMs - the limit in milliseconds
 * @returns the step's value
 * @throws SilenceError after the limit
 */
export function waitWithin<T>(step: Promise<T>, clock: Clock, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimer(timeoutMs, () => reject(new WaitTimeoutError(timeoutMs)));
    step.then(resolve, reject).finally(() => timer.cancel());
  });
}
