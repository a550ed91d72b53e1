/**
 * Benches: memory of kept answers.
 *
 * @module
 */
import { MOULINET, startFleet } from '../test/fleet/mod.js';
import type { EntryHost, Fleet } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { createAgent } from './_call.js';
import { acquireRequestId, pickAccount, sendPlain } from './_caller_call.js';
import { readAdmin, readProcessUse, waitMs } from './_entry_host_probe.js';
import { computeLine } from './_statistics.js';
import type { Line } from './_statistics.js';
import { buildWideShape } from './_wide_shape.js';

const CALLERS = 24;
const SETTLE_MS = 3000;
const WARM_UP_ANSWERS = 1500;
const MANY_BYTES = '1073741824';
const LONG_MS = '3600000';

/** Memory with a number of kept answers. */
interface MemoryPoint {
  readonly answers: number;
  readonly residentBytes: number;
  readonly keptAnswerBytes: number;
}

/**
 * Lets one entry host keep more and more answers, small and larger ones.
 *
 * @param options - `--steps`, `--step`, `--sizes`
 * @returns bytes of memory an answer, by the slope
 */
export async function runAnswerMemory(options: BenchOptions): Promise<BenchResult> {
  const steps = readNumber(options, 'steps', 5);
  const step = readNumber(options, 'step', 2000);
  const sizes = readList(options, 'sizes', ['100', '8000']).map(Number);
  const series: { size: number; points: readonly MemoryPoint[]; line: Line }[] = [];
  for (const size of sizes) {
    options.note(`bodies of ${size} bytes`);
    const points = await runSteps({ steps, step, size });
    const line = computeLine(
      points.map(({ answers, residentBytes }) => ({ x: answers, y: residentBytes })),
    );
    series.push({ size, points, line });
  }
  const rows = series.flatMap(({ size, points, line }) => [
    ...points.map((point) => [
      `body ${size} bytes`,
      point.answers,
      point.residentBytes / 2 ** 20,
      point.keptAnswerBytes / 2 ** 20,
      '',
    ]),
    [
      `slope, body ${size} bytes`,
      '',
      '',
      '',
      `${line.slope.toFixed(0)} (r² ${line.r2.toFixed(3)})`,
    ],
  ]);
  return {
    settings: { steps, step, sizes },
    head: ['answers', 'kept', 'resident MiB', 'kept bodies MiB', 'bytes an answer'],
    rows,
    figures: series,
  };
}

async function runSteps(settings: {
  steps: number;
  step: number;
  size: number;
}): Promise<readonly MemoryPoint[]> {
  const fleet = await startFleet({
    shape: buildWideShape(MOULINET),
    entryHostCount: 1,
    engineCount: 1,
    plainServerFlags: ['--latency-ms', '0'],
    entryHostFlags: [
      ...['--log-level', 'warn', '--answer-bytes', MANY_BYTES],
      ...['--answer-keep-ms', LONG_MS, '--request-id-lifetime-ms', LONG_MS],
    ],
  });
  try {
    await addAnswers(fleet, WARM_UP_ANSWERS, settings.size);
    const points = [await readPoint(fleet, WARM_UP_ANSWERS)];
    for (let index = 1; index <= settings.steps; index += 1) {
      await addAnswers(fleet, settings.step, settings.size);
      points.push(await readPoint(fleet, WARM_UP_ANSWERS + index * settings.step));
    }
    return points;
  } finally {
    await fleet.stop();
  }
}

async function addAnswers(fleet: Fleet, count: number, size: number): Promise<void> {
  const host = fleet.entryHosts[0] as EntryHost;
  const caller = { account: pickAccount(fleet), agent: createAgent() };
  const service = fleet.parts.options.shape.plainService;
  const body = JSON.stringify({ notice: 'x'.repeat(size) });
  let left = count;
  const runCaller = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const requestId = await acquireRequestId(host, caller);
      await sendPlain(host, { service, method: 'POST', path: '/notices', requestId, body }, caller);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, runCaller));
  caller.agent.destroy();
}

async function readPoint(fleet: Fleet, answers: number): Promise<MemoryPoint> {
  const host = fleet.entryHosts[0] as EntryHost;
  await waitMs(SETTLE_MS);
  const { keptAnswerBytes } = await readAdmin<{ keptAnswerBytes: number }>(host, '/v1/health');
  return { answers, residentBytes: readProcessUse(host.pid).residentBytes, keptAnswerBytes };
}
