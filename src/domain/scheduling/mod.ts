/**
 * Pure scheduling policy: queues, tier closing, concurrency windows, choice of
 * backend server, and the strategies that combine them. Time and random numbers
 * are passed in by the caller.
 *
 * ```ts
 * const group = new GroupScheduler({ strategy, isPlain: false, nowMs, nextFraction });
 * group.updateServers(specs, nowMs);
 * const decisions = [...group.submit(demand, nowMs), ...group.run(nowMs)];
 * ```
 *
 * @module
 */
export { Tier, TIER_NAMES, TIERS } from './tier.js';
export {
  BLOCK_CHARACTERS,
  BLOCK_TOKENS,
  CHARACTERS_PER_TOKEN,
  hashBlocks,
  MAX_HASHED_BLOCKS,
  predictTokens,
} from './prompt.js';
export { OutputPredictor } from './output_predictor.js';
export { RetryBudget } from './retry_budget.js';
export { parseGroupServiceId, splitDispatchGroups } from './dispatch_groups.js';
export type { DispatchGroup } from './dispatch_groups.js';
export type { SlotDemand, WaitingDemand } from './slot_demand.js';
export { WaitingQueue } from './waiting_queue.js';
export type { Placement, Placer } from './waiting_queue.js';
export {
  AGED_GRANT_INTERVAL,
  AGED_WORK_FRACTION,
  FairQueue,
  STARVATION_BOUND_MS,
} from './fair_queue.js';
export { FifoQueue } from './fifo_queue.js';
export { REOPEN_DELAY_MS, TierGate } from './tier_gate.js';
export { computeRetryAfterMs, MAX_WAIT_MS, MAX_WAITING_REQUESTS } from './admission.js';
export { ConcurrencyWindow, SLOW_START_MS } from './concurrency_window.js';
export type { LatencySample } from './concurrency_window.js';
export { MAX_EJECTED_FRACTION, OutlierEjector } from './outlier_ejection.js';
export type { ServerHealth } from './outlier_ejection.js';
export { pickNearBest, pickLessLoadedOfTwo } from './server_choice.js';
export type { ServerCandidate } from './server_choice.js';
export { ServerState, ServerVerdict } from './server_state.js';
export type { HeldSlot, ServerSpec, SlotResult } from './server_state.js';
export { ServerPool } from './server_pool.js';
export {
  createStrategy,
  DispatcherStrategy,
  FirstComeStrategy,
  FixedSharesStrategy,
  RESERVE_FRACTION,
  SchedulingStrategy,
  StrategyName,
  TwoChoicesStrategy,
} from './strategy.js';
export type { StrategyOptions } from './strategy.js';
export { DecisionKind } from './decision.js';
export type { Decision, GrantDecision, RefusalDecision } from './decision.js';
export { GroupScheduler } from './group_scheduler.js';
export type { GroupSchedulerOptions } from './group_scheduler.js';
