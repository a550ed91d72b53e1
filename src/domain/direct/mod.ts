/**
 * Decisions about calls that carry their own request ID and are served by the entry host which
 * they reach: queue order, retry-after times, and this host's share of a service's retry budget.
 * `computeUrgency({ rank, isLate })` orders waiting calls.
 *
 * @module
 */
export { OutputForecast } from './output_forecast.js';
export { RetryShare } from './retry_share.js';
export type { RetryBounds } from './retry_share.js';
export { computeReturningThresholdMs, computeReturnMs } from './return_time.js';
export {
  AIM_WAIT_PART,
  computeDoubtWaitMs,
  computeMoveWaitMs,
  computeWaitMs,
} from './wait_time.js';
export type { WaitOptions } from './wait_time.js';
export { ReturningCallers } from './returning_callers.js';
export { WaitOutlook } from './wait_outlook.js';
export { computeUrgency, WaitingLine } from './waiting_line.js';
export type { WaitingCall } from './waiting_line.js';
