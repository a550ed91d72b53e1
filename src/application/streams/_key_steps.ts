/**
 * Works through many keys of streams in short steps.
 *
 * @module
 */
import type { Clock } from '../../ports/mod.js';

/** Number of keys in one step; more of them would keep calls waiting. */
export const KEYS_PER_STEP = 500;

/**
 * Handles the first keys at once, and the others in later turns of the event loop.
 *
 * @param clock - starts the later steps
 * @param keys - all keys
 * @param handle - called with a few of them at a time, in order
 */
export function runInSteps(
  clock: Clock,
  keys: readonly string[],
  handle: (part: readonly string[]) => void,
): void {
  const runFrom = (start: number): void => {
    const end = start + KEYS_PER_STEP;
    if (start < keys.length) handle(keys.slice(start, end));
    if (end < keys.length) clock.setTimer(0, () => runFrom(end));
  };
  runFrom(0);
}
