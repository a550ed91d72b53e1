/**
 * The figures of one load run, ready to be written.
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

/** One run's figures under a name. */
export interface LoadReport {
  readonly name: string;
  readonly seed: number;
  readonly elapsedMs: number;
  readonly worstLagMs: number;
  readonly offered: number;
  readonly tiers: readonly TierSummary[];
  /** Absent when the backend servers' runs were not read. */
  readonly comparison?: RunComparison;
  readonly inversions?: InversionCount;
}

/** Options of {@link buildLoadReport}. */
export interface LoadReportOptions {
  readonly name: string;
  readonly records?: readonly RunRecord[];
  /** Phase whose requests count for doubles and losses, but not by tier. Default: none. */
  readonly warmUpPhase?: string;
}

/**
 * Builds a run's report.
 *
 * @param run - the run
 * @param options - its name, and the runs that backend servers recorded
 * @returns the figures
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
