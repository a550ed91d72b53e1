/**
 * Builds the report of a load run.
 *
 * @module
 */
import { compareRuns } from './compare_runs.js';
import type { RunComparison } from './compare_runs.js';
import { countInversions } from './inversions.js';
import type { InversionCount } from './inversions.js';
import type { LoadRun } from './run_load.js';
import type { RunRecord } from './run_record.js';
import { LoadTally } from './tally.js';
import type { TierSummary } from './tally.js';

/** Named statistics of one load run. */
export interface LoadReport {
  readonly name: string;
  readonly seed: number;
  readonly elapsedMs: number;
  /** Longest delay of an arrival caused by the load tool itself, in milliseconds. */
  readonly worstLagMs: number;
  /** Number of requests sent, without those of the warm-up phase. */
  readonly offered: number;
  readonly tiers: readonly TierSummary[];
  /** Absent when the runs recorded by backend servers are not available. */
  readonly comparison?: RunComparison;
  /** Absent when `comparison` is. */
  readonly inversions?: InversionCount;
}

/** Options of {@link buildLoadReport}. */
export interface LoadReportOptions {
  readonly name: string;
  readonly records?: readonly RunRecord[];
  /** Phase whose requests count in `comparison` and `inversions` only. Default: none. */
  readonly warmUpPhase?: string;
}

/**
 * Builds the report of a load run.
 *
 * @param run - the load run
 * @param options - name of the report, recorded runs and warm-up phase
 * @returns the report
 */
export function buildLoadReport(run: LoadRun, options: LoadReportOptions): LoadReport {
  const tally = new LoadTally();
  const { records, warmUpPhase } = options;
  const counted = run.outcomes.filter((outcome) => outcome.arrival.phase !== warmUpPhase);
  counted.forEach((outcome) => tally.record(outcome));
  return {
    name: options.name,
    seed: run.seed,
    elapsedMs: run.elapsedMs,
    worstLagMs: run.worstLagMs,
    offered: counted.length,
    tiers: tally.listTiers(),
    comparison: records && compareRuns(run.outcomes, records),
    inversions: records && countInversions(run.startedWallMs, run.outcomes, records),
  };
}
