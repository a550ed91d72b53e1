/**
 * The machine's clock.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import { Clock } from '../../ports/mod.js';
import type { Timer } from '../../ports/mod.js';

const MAX_DELAY_MS = 2 ** 31 - 1;

/** Real time and real timers; a pending timer keeps the process alive. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    // Node fires a timer of more than 2^31 - 1 ms at once; a cut delay fires late enough instead.
    const timeout = setTimeout(callback, Math.min(Math.max(0, delayMs), MAX_DELAY_MS));
    return { cancel: () => clearTimeout(timeout) };
  }
}
