/**
 * Open-loop load generator: seeded arrivals in phases with a mix of tiers and lengths, and a
 * report of their outcomes. It uses only the callers' protocol; a report can also compare the
 * outcomes with the runs that backend servers recorded:
 * `buildLoadReport(await runLoad(plan, { urls, seed: 1 }), { name: 'steady' })`.
 *
 * @module
 */
export { computePlanDurationMs, listArrivals } from './arrivals.js';
export type { Arrival } from './arrivals.js';
export { ASSUMED_CACHE_LIFETIME_MS, compareRuns, computeWastedPrefill } from './compare_runs.js';
export type { RunComparison, WastedPrefill } from './compare_runs.js';
export { countInversions, INVERSION_WINDOW_MS, isShed, INVERSION_SETTLE_MS } from './inversions.js';
export type { InversionCount } from './inversions.js';
export { buildDefaultPlan } from './default_plan.js';
export type { DefaultPlanOptions } from './default_plan.js';
export { LoadRandom } from './load_random.js';
export { buildLoadReport } from './load_report.js';
export type { LoadReport, LoadReportOptions } from './load_report.js';
export { isInDeadline, OutcomeKind } from './outcome.js';
export type { RequestOutcome } from './outcome.js';
export { computeArrivalRate, parseLoadPlan } from './plan.js';
export type { LoadAccount, LoadPhase, LoadPlan, LoadPlanDocument, LoadWork } from './plan.js';
export { runLoad } from './run_load.js';
export type { LoadRun, RunLoadOptions } from './run_load.js';
export { parseRunRecords, readRunRecords } from './run_record.js';
export type { RunRecord } from './run_record.js';
export { createHistogram, LoadTally, summarizeLatency, recordMs } from './tally.js';
export type { LatencySummary, TierSummary, TimelinePoint } from './tally.js';
