/**
 * Runs one overload case with one strategy and one seed.
 *
 * @module
 */
import { buildLoadReport, readRunRecords, runLoad } from '../src/load/mod.js';
import type { LoadReport } from '../src/load/mod.js';
import { startFleet } from '../test/fleet/mod.js';
import type { Fleet, FleetShape } from '../test/fleet/mod.js';
import type { OverloadCase } from './_overload_cases.js';
import { buildOverloadPlan, WARM_UP_PHASE } from './_overload_plan.js';
import { buildWideShape } from './_wide_shape.js';

const MS_PER_SECOND = 1000;

/** Settings of a run. */
export interface OverloadRunOptions {
  readonly shape: FleetShape;
  readonly overloadCase: OverloadCase;
  /** Label of the run in the report, such as the strategy. */
  readonly label: string;
  readonly entryHostFlags: readonly string[];
  readonly seed: number;
  /** Measured time in seconds, without the warm-up. */
  readonly seconds: number;
  readonly entryHostCount: number;
  readonly engineCount: number;
  readonly timeScale: number;
  readonly dispatchGroupSize: number;
}

/**
 * Starts a fleet, runs the case's load and actions, and reads the engines' run records.
 *
 * @param options - settings of the run
 * @returns the load report
 */
export async function runOverloadCase(options: OverloadRunOptions): Promise<LoadReport> {
  const { overloadCase, engineCount, timeScale, seconds } = options;
  const shape = buildWideShape(options.shape);
  const plan = buildOverloadPlan({
    shape,
    engineCount,
    timeScale,
    phases: overloadCase.phases.map(({ share, multiple }) => ({
      seconds: share * seconds,
      multiple,
    })),
  });
  const fleet = await startFleet({
    shape,
    entryHostCount: options.entryHostCount,
    engineCount,
    plainServerCount: 3,
    timeScale,
    dispatchGroupSize: options.dispatchGroupSize,
    entryHostFlags: ['--log-level', 'warn', ...options.entryHostFlags],
    proxied: { peers: overloadCase.mustProxyPeers },
  });
  const warmUpMs = (plan.phases[0]?.seconds ?? 0) * MS_PER_SECOND;
  const timers = scheduleActions(fleet, options, warmUpMs);
  try {
    const urls = fleet.entryHosts.map(({ url }) => url);
    const run = await runLoad(plan, { urls, seed: options.seed });
    const records = await readRunRecords(fleet.backendServers.map(({ url }) => url));
    return buildLoadReport(run, {
      name: `${overloadCase.name} · ${options.label} · seed ${options.seed}`,
      records,
      warmUpPhase: WARM_UP_PHASE,
    });
  } finally {
    timers.forEach((timer) => clearTimeout(timer));
    await fleet.stop();
  }
}

function scheduleActions(
  fleet: Fleet,
  { overloadCase, seconds }: OverloadRunOptions,
  warmUpMs: number,
): readonly NodeJS.Timeout[] {
  return overloadCase.actions.map((action) =>
    setTimeout(
      () => {
        Promise.resolve(action.run(fleet)).catch((error: unknown) => {
          process.stderr.write(
            `Cannot run an action of case ${overloadCase.name}: ${String(error)}\n`,
          );
          process.exitCode = 1;
        });
      },
      warmUpMs + action.atFraction * seconds * MS_PER_SECOND,
    ),
  );
}
