/**
 * Waits on the clock of an entry host.
 *
 * @module
 */
import type { Clock } from '../../ports/mod.js';

/**
 * @param clock - provides timers
 * @param delayMs - time to wait, in milliseconds
 * @returns a promise that resolves to undefined after that time
 */
export function waitFor(clock: Clock, delayMs: number): Promise<undefined> {
  return new Promise((resolve) => {
    clock.setTimer(delayMs, () => resolve(undefined));
  });
}
