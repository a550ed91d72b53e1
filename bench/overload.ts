/**
 * Benches: goodput and guarantees under overload and faults.
 *
 * @module
 */
import type { LoadReport } from '../src/load/mod.js';
import { formatHtml, formatText } from '../src/load/report/mod.js';
import { MOULINET, PADMARAAG } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { OVERLOAD_CASES } from './_overload_cases.js';
import type { OverloadCase } from './_overload_cases.js';
import { runOverloadCase } from './_overload_run.js';
import type { OverloadRunOptions } from './_overload_run.js';
import { buildOverloadSummary, formatOverloadRow, OVERLOAD_HEAD } from './_overload_summary.js';
import type { OverloadSummary } from './_overload_summary.js';

const DEFAULT_SEEDS = ['1', '2', '3'];
const DEFAULT_GROUP_SIZE = 16;
const STRATEGIES = ['dispatcher', 'two-choices', 'fixed-shares', 'first-come'];

/** One compared configuration of the entry hosts. */
interface Variant {
  readonly label: string;
  readonly entryHostFlags: readonly string[];
  readonly dispatchGroupSize: number;
}

/**
 * Compares dispatch strategies over all cases and seeds.
 *
 * @param options - `--cases`, `--strategies`, `--seeds`, `--seconds` and the fleet's size
 * @returns one row per case and strategy
 */
export function runOverload(options: BenchOptions): Promise<BenchResult> {
  const variants = readList(options, 'strategies', STRATEGIES).map((strategy) => ({
    label: strategy,
    entryHostFlags: ['--strategy', strategy],
    dispatchGroupSize: readNumber(options, 'group-size', DEFAULT_GROUP_SIZE),
  }));
  return runVariants(
    options,
    variants,
    OVERLOAD_CASES.map(({ name }) => name),
  );
}

/**
 * Compares dispatch group sizes, from one dispatcher per backend server to one per service.
 *
 * @param options - as {@link runOverload}; `--group-sizes`
 * @returns one row per case and group size
 */
export function runGroupSize(options: BenchOptions): Promise<BenchResult> {
  const variants = readList(options, 'group-sizes', ['1', '4', '16']).map((size) => ({
    label: `group size ${size}`,
    entryHostFlags: [],
    dispatchGroupSize: Number(size),
  }));
  return runVariants(options, variants, ['steady-0.7', 'overload-1.3']);
}

/**
 * Compares waiting for slots with reserving a fraction of them for higher tiers.
 *
 * @param options - as {@link runOverload}; `--reserves`
 * @returns one row per case and reserve
 */
export function runReserve(options: BenchOptions): Promise<BenchResult> {
  const variants = readList(options, 'reserves', ['0', '0.125', '0.25']).map((reserve) => ({
    label: `reserve ${reserve}`,
    entryHostFlags: ['--reserve-fraction', reserve],
    dispatchGroupSize: DEFAULT_GROUP_SIZE,
  }));
  return runVariants(options, variants, ['steady-0.7', 'overload-1.3', 'burst']);
}

async function runVariants(
  options: BenchOptions,
  variants: readonly Variant[],
  defaultCases: readonly string[],
): Promise<BenchResult> {
  const cases = readList(options, 'cases', defaultCases).map(findCase);
  const seeds = readList(options, 'seeds', DEFAULT_SEEDS).map(Number);
  const settings = {
    seconds: readNumber(options, 'seconds', 25),
    entryHostCount: readNumber(options, 'hosts', 8),
    engineCount: readNumber(options, 'engines', 12),
    timeScale: readNumber(options, 'time-scale', 0.5),
  };
  const shape = options.flags.get('shape') === 'padmaraag' ? PADMARAAG : MOULINET;
  const summaries: OverloadSummary[] = [];
  const reports: LoadReport[] = [];
  for (const overloadCase of cases) {
    for (const variant of variants) {
      const runOptions = { ...settings, ...variant, shape, overloadCase };
      const seedReports = await runSeeds(options, runOptions, seeds);
      reports.push(...seedReports);
      if (seedReports.length > 0) {
        summaries.push(buildOverloadSummary(overloadCase.name, variant.label, seedReports));
      }
    }
  }
  return {
    settings: {
      ...settings,
      shape: shape.name,
      seeds,
      variants,
      cases: cases.map(({ name }) => name),
    },
    head: OVERLOAD_HEAD,
    rows: summaries.map(formatOverloadRow),
    figures: { summaries, reports },
    html: formatHtml(reports, { title: 'monsoonhall under overload and faults' }),
  };
}

/** Runs one variant with each seed. A failed run is reported and skipped; later runs continue. */
async function runSeeds(
  options: BenchOptions,
  runOptions: Omit<OverloadRunOptions, 'seed'>,
  seeds: readonly number[],
): Promise<readonly LoadReport[]> {
  const reports: LoadReport[] = [];
  for (const seed of seeds) {
    try {
      const report = await runOverloadCase({ ...runOptions, seed });
      options.reportProgress(formatText(report));
      reports.push(report);
    } catch (error) {
      const name = `${runOptions.overloadCase.name} · ${runOptions.label} · seed ${seed}`;
      options.reportProgress(`NOT RUN: ${name}: ${(error as Error).message}`);
      process.exitCode = 1;
    }
  }
  return reports;
}

function findCase(name: string): OverloadCase {
  const found = OVERLOAD_CASES.find((each) => each.name === name);
  if (!found) {
    const names = OVERLOAD_CASES.map((each) => each.name).join(', ');
    throw new Error(`Cannot run case "${name}": it must be one of ${names}`);
  }
  return found;
}
