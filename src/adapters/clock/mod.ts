/**
 * The machine's clock and timers: `new SystemClock().setTimer(500, tick)`.
 *
 * @module
 */
export { SystemClock } from './system_clock.js';
