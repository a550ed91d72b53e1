/**
 * Decisions about calls that carry their own request ID and are served by the entry host which
 * they reach: queue order, retry-after times, and this host's share of a service's retry budget.
 * `computeUrgency({ rank, isLate })` orders waiting calls.
 *
 * @module
 */
export { OutputEstimator } from './output_forecast.js';
export { RetryBudgetShare } from './retry_share.js';
export type { RetryBounds } from './retry_share.js';
export { computeReturningThresholdMs, computeRetryAfterMs } from './return_time.js';
export {
  WAIT_FRACTION,
  computeMaxProbationWaitMs,
  computeMaxFailoverWaitMs,
  computeMaxWaitMs,
} from './wait_time.js';
export type { WaitOptions } from './wait_time.js';
export { ReturningCallerDetector } from './returning_callers.js';
export { WaitSuccessTracker } from './wait_outlook.js';
export { computeUrgency, WaitQueue } from './waiting_line.js';
export type { WaitingCall } from './waiting_line.js';
