/**
 * Bench: time until a draining backend server receives no new work.
 *
 * @module
 */
import { OutcomeKind, parseLoadPlan, readRunRecords, runLoad } from '../src/load/mod.js';
import { MOULINET, startFleet, waitUntil } from '../test/fleet/mod.js';
import type { Fleet } from '../test/fleet/mod.js';
import { readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { readAdmin, sleep } from './_entry_host_probe.js';
import { computeLatency } from './_statistics.js';
import { buildWideShape } from './_wide_shape.js';

const VICTIM = 'plain-2';
const PROPAGATION_TIMEOUT_MS = 10_000;
const ROUND_MS = 4000;
const MS_PER_SECOND = 1000;

/** One entry of the response to `GET /v1/backend-servers`. */
interface BackendRow {
  readonly id: string;
  readonly leaving: boolean;
}

/** One period in which the server drains, with wall-clock times in milliseconds. */
interface DrainPeriod {
  readonly orderedAtMs: number;
  /** Time at which the server was marked as live again. */
  readonly livedAgainAtMs: number;
  /** Time from the order until every entry host lists the server as draining. */
  readonly everybodyKnowsMs: number;
}

/**
 * Repeatedly marks a plain server as draining under load, and then as live again.
 *
 * @param options - `--rounds`, `--rate`
 * @returns time until every entry host knows, and until the last start of work on the server
 */
export async function runLeavingNotice(options: BenchOptions): Promise<BenchResult> {
  const rounds = readNumber(options, 'rounds', 5);
  const rate = readNumber(options, 'rate', 60);
  const shape = buildWideShape(MOULINET);
  const fleet = await startFleet({ shape, entryHostCount: 3, engineCount: 1, plainServerCount: 3 });
  try {
    const plan = parseLoadPlan({
      phases: [
        {
          name: 'steady',
          seconds: (rounds * 2 + 1) * (ROUND_MS / MS_PER_SECOND),
          requestsPerSecond: rate,
        },
      ],
      accounts: fleet.accounts.map((account) => ({ ...account })),
      work: [
        {
          name: 'status',
          share: 1,
          tier: 'urgent',
          service: shape.plainService,
          withId: false,
          deadlineMs: 5000,
        },
      ],
    });
    const load = runLoad(plan, { urls: fleet.entryHosts.map(({ url }) => url), seed: 1 });
    const leavings = await runRounds(fleet, rounds);
    const { outcomes } = await load;
    const runs = await readRunRecords([fleet.findBackendServer(VICTIM).url]);
    const starts = runs.map(({ startedWallMs }) => startedWallMs);
    const lastStarts = leavings.map(({ orderedAtMs, livedAgainAtMs }) => {
      const late = starts.filter((atMs) => atMs >= orderedAtMs && atMs < livedAgainAtMs);
      return Math.max(0, ...late.map((atMs) => atMs - orderedAtMs));
    });
    const unanswered = outcomes.filter(({ kind }) => kind !== OutcomeKind.Answered).length;
    return buildResult({ rounds, rate }, leavings, lastStarts, unanswered);
  } finally {
    await fleet.stop();
  }
}

async function runRounds(fleet: Fleet, rounds: number): Promise<readonly DrainPeriod[]> {
  const leavings: DrainPeriod[] = [];
  for (let round = 0; round < rounds; round += 1) {
    await sleep(ROUND_MS);
    const orderedAtMs = Date.now();
    await fleet.setHostState(VICTIM, 'leaving');
    await waitUntil(() => isKnownEverywhere(fleet), {
      subject: `${VICTIM} leaving`,
      timeoutMs: PROPAGATION_TIMEOUT_MS,
    });
    const everybodyKnowsMs = Date.now() - orderedAtMs;
    await sleep(ROUND_MS - everybodyKnowsMs);
    const livedAgainAtMs = Date.now();
    await fleet.setHostState(VICTIM, 'live');
    leavings.push({ orderedAtMs, livedAgainAtMs, everybodyKnowsMs });
  }
  return leavings;
}

async function isKnownEverywhere(fleet: Fleet): Promise<boolean> {
  const views = await Promise.all(
    fleet.entryHosts.map((host) => readAdmin<readonly BackendRow[]>(host, '/v1/backend-servers')),
  );
  return views.every((rows) => rows.some(({ id, leaving }) => id === VICTIM && leaving));
}

function buildResult(
  settings: BenchResult['settings'],
  leavings: readonly DrainPeriod[],
  lastStarts: readonly number[],
  unanswered: number,
): BenchResult {
  const rows = [
    ['every entry host knows', leavings.map(({ everybodyKnowsMs }) => everybodyKnowsMs)] as const,
    ['last start of work there', lastStarts] as const,
  ].map(([name, values]) => ({ name, values, ...computeLatency(values) }));
  return {
    settings,
    head: ['after the host list said so', 'rounds', 'p50 ms', 'max ms'],
    rows: [
      ...rows.map(({ name, count, p50, max }) => [name, count, p50, max]),
      ['requests without an answer', unanswered, '-', '-'],
    ],
    figures: { rows, leavings, unanswered },
  };
}
