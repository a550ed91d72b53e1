/**
 * The age of cached information, whether it came from its source or through peers,
 * including suspensions of the machine:
 * `age.confirm(requestedAt, now)`, then `age.computeAgeMs(now) < limitMs`.
 * Also the order of the states that a store was in, and whether all its changes are known.
 *
 * @module
 */
export { ConfirmedAge } from './confirmed_age.js';
export { computeElapsedMs } from './clock_reading.js';
export type { ClockReading } from './clock_reading.js';
export { compareEras, comparePositions, pickLater, RESTORE_HOLD_MS } from './store_position.js';
export type { StorePosition } from './store_position.js';
export { isWholeHistory } from './whole_history.js';
