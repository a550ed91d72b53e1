/**
 * Provides the clock and timers of the operating system:
 * `new SystemClock().setTimer(500, tick)`.
 *
 * @module
 */
export { SystemClock } from './system_clock.js';
