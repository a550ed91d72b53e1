/**
 * Decisions about calls that carry their own request ID and are served by the entry host which
 * they reach: queue order, retry-after times, and this host's share of a service's retry budget.
 * `new WaitQueue()` orders waiting calls.
 *
 * @module
 */
export {
  AccountUsage,
  ANONYMOUS_ACCOUNT,
  MAX_ACCOUNTS,
  USAGE_HALF_LIFE_MS,
} from './account_usage.js';
export type { SlotTimes, WeightedAccount } from './account_usage.js';
export { AnswerTimeEstimator } from './answer_time.js';
export type { AnswerTimes } from './answer_time.js';
export { computeMaxSilentWaitMs } from './caller_silence.js';
export { ExpectedReturns } from './expected_returns.js';
export { RankShares } from './rank_shares.js';
export { estimateSlotWaitMs } from './slot_wait.js';
export { HoldTimeAverage } from './hold_time_average.js';
export { OutputEstimator } from './output_estimator.js';
export { RetryBudgetShare } from './retry_budget_share.js';
export type { RetryBounds, RetryDecision } from './retry_budget_share.js';
export { computeDirectRetryAfterMs, MIN_RETRY_AFTER_MS } from './retry_after.js';
export { WaitQueue } from './wait_queue.js';
export type { WaitingCall } from './wait_queue.js';
export type { FairOrder } from './_account_flows.js';
export { computeRejectedFraction, GateChange, LatenessGate } from './lateness_gate.js';
