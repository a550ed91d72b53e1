/**
 * Waits with a limit.
 *
 * @module
 */
import type { Clock } from '../ports/mod.js';

/** Nothing came within the limit. */
export class SilenceError extends Error {
  override readonly name = 'SilenceError';

  /** @param limitMs - the limit in milliseconds */
  constructor(limitMs: number) {
    super(`nothing came within ${limitMs} ms`);
  }
}

/**
 * Waits for a step, but not longer than a limit. The step itself goes on.
 *
 * @param step - what to wait for
 * @param clock - the clock
 * @param limitMs - the limit in milliseconds
 * @returns the step's value
 * @throws SilenceError after the limit
 */
export function waitWithin<T>(step: Promise<T>, clock: Clock, limitMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimer(limitMs, () => reject(new SilenceError(limitMs)));
    step.then(resolve, reject).finally(() => timer.cancel());
  });
}
