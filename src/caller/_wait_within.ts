/**
 * Limits the wait for a promise.
 *
 * @module
 */
import type { Clock } from '../ports/mod.js';

/** A step did not complete within its timeout. */
export class WaitTimeoutError extends Error {
  override readonly name = 'WaitTimeoutError';

  /** @param timeoutMs - the timeout in milliseconds */
  constructor(timeoutMs: number) {
    super(`nothing arrived within ${timeoutMs} ms`);
  }
}

/**
 * Waits for a step until a timeout. The step itself is not cancelled.
 *
 * @param step - the step to wait for
 * @param clock - sets the timer
 * @param timeoutMs - the timeout in milliseconds
 * @returns the value of the step
 * @throws WaitTimeoutError after the timeout
 */
export function waitWithin<T>(step: Promise<T>, clock: Clock, timeoutMs: number): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.setTimer(timeoutMs, () => reject(new WaitTimeoutError(timeoutMs)));
    step.then(resolve, reject).finally(() => timer.cancel());
  });
}
