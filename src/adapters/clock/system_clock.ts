/**
 * Implements the `Clock` port with the clock and timers of the operating system.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import { Clock } from '../../ports/mod.js';
import type { Timer } from '../../ports/mod.js';

const MAX_DELAY_MS = 2 ** 31 - 1;

/** Real time and Node.js timers. A pending timer keeps the process alive. */
export class SystemClock extends Clock {
  override nowMs(): number {
    return performance.now();
  }

  override wallMs(): number {
    return Date.now();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    // Node.js fires a timer with a delay above 2^31 - 1 ms immediately, so the delay is clamped
    // to that maximum (about 25 days).
    const timeout = setTimeout(callback, Math.min(Math.max(0, delayMs), MAX_DELAY_MS));
    return { cancel: () => clearTimeout(timeout) };
  }
}
