/**
 * How old knowledge is, over answers, peers and suspensions of the process:
 * `age.confirm(askedAt, now)`, then `age.computeAgeMs(now) < limitMs`.
 *
 * @module
 */
export { ConfirmedAge } from './confirmed_age.js';
export { computeElapsedMs } from './moment.js';
export type { Moment } from './moment.js';
