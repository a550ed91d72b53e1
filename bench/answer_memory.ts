/**
 * Bench: memory that an entry host uses for retained answers.
 *
 * @module
 */
import { MOULINET, startFleet } from '../test/fleet/mod.js';
import type { EntryHost, Fleet } from '../test/fleet/mod.js';
import { readList, readNumber } from './bench.js';
import type { BenchOptions, BenchResult } from './bench.js';
import { createAgent } from './_call.js';
import { acquireRequestId, pickAccount, sendPlain } from './_caller_call.js';
import { readAdmin, readProcessUsage, sleep } from './_entry_host_probe.js';
import { fitLine } from './_statistics.js';
import type { Line } from './_statistics.js';
import { buildWideShape } from './_wide_shape.js';

const CALLER_COUNT = 24;
const SETTLE_MS = 3000;
const WARM_UP_ANSWERS = 1500;
/** Limits high enough that the entry host discards no answer during the bench. */
const ANSWER_BYTES = '1073741824';
const ANSWER_LIFETIME_MS = '3600000';

/** Memory usage at a number of retained answers. */
interface MemoryPoint {
  readonly answers: number;
  readonly residentBytes: number;
  /** Size of the retained bodies, as reported by the entry host. */
  readonly keptAnswerBytes: number;
}

/**
 * Measures the memory of one entry host while it retains a growing number of answers of each size.
 *
 * @param options - `--steps`, `--step`, `--sizes`
 * @returns bytes of memory per answer, from the fitted slope
 */
export async function runAnswerMemory(options: BenchOptions): Promise<BenchResult> {
  const steps = readNumber(options, 'steps', 5);
  const step = readNumber(options, 'step', 2000);
  const sizes = readList(options, 'sizes', ['100', '8000']).map(Number);
  const series: { size: number; points: readonly MemoryPoint[]; line: Line }[] = [];
  for (const size of sizes) {
    options.reportProgress(`bodies of ${size} bytes`);
    const points = await measureSteps({ steps, step, size });
    const line = fitLine(
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

async function measureSteps(settings: {
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
      ...['--log-level', 'warn', '--answer-bytes', ANSWER_BYTES],
      ...['--answer-keep-ms', ANSWER_LIFETIME_MS, '--request-id-lifetime-ms', ANSWER_LIFETIME_MS],
    ],
  });
  try {
    await addAnswers(fleet, WARM_UP_ANSWERS, settings.size);
    const points = [await measurePoint(fleet, WARM_UP_ANSWERS)];
    for (let index = 1; index <= settings.steps; index += 1) {
      await addAnswers(fleet, settings.step, settings.size);
      points.push(await measurePoint(fleet, WARM_UP_ANSWERS + index * settings.step));
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
  await Promise.all(Array.from({ length: CALLER_COUNT }, runCaller));
  caller.agent.destroy();
}

async function measurePoint(fleet: Fleet, answers: number): Promise<MemoryPoint> {
  const host = fleet.entryHosts[0] as EntryHost;
  await sleep(SETTLE_MS);
  const { keptAnswerBytes } = await readAdmin<{ keptAnswerBytes: number }>(host, '/v1/health');
  return { answers, residentBytes: readProcessUsage(host.pid).residentBytes, keptAnswerBytes };
}
