/**
 * One measured point of a slope, over all entry hosts of a fleet.
 *
 * @module
 */
import type { Fleet } from '../test/fleet/mod.js';
import type { BenchResult } from './bench.js';
import { computeRates, readMetricSum, readProcessUse, waitMs } from './_entry_host_probe.js';
import { computeLine, computeMean } from './_statistics.js';

const SETTLE_MS = 500;

/** Means over the entry hosts; rates a second. */
export interface CapacityPoint {
  readonly x: number;
  readonly hosts: number;
  /** Part of one core. */
  readonly cpuShare: number;
  readonly mostCpuShare: number;
  readonly residentBytes: number;
  readonly sentMessagesPerSecond: number;
  /** Through write calls of the process, as the kernel counts them. */
  readonly writtenBytesPerSecond: number;
  readonly readBytesPerSecond: number;
}

const FIELDS = [
  ['cpuShare', '% of a core', 100],
  ['residentBytes', 'resident MiB', 1 / 2 ** 20],
  ['sentMessagesPerSecond', 'messages sent/s', 1],
  ['writtenBytesPerSecond', 'KB written/s', 1 / 1000],
  ['readBytesPerSecond', 'KB read/s', 1 / 1000],
] as const;

/**
 * Reads all entry hosts before and after something.
 *
 * @param fleet - a running fleet
 * @param x - where on the axis the point lies
 * @param act - what happens in between
 * @returns the point
 */
export async function readCapacityPoint(
  fleet: Fleet,
  x: number,
  act: () => Promise<void>,
): Promise<CapacityPoint> {
  const hosts = fleet.entryHosts;
  // The pages of metrics are larger than a second of control, so they are read
  // outside the stretch in which bytes are counted.
  const sentBefore = await readSent(fleet);
  const startMs = performance.now();
  await waitMs(SETTLE_MS);
  const before = hosts.map(({ pid }) => readProcessUse(pid));
  await act();
  const after = hosts.map(({ pid }) => readProcessUse(pid));
  const sentAfter = await readSent(fleet);
  const seconds = (performance.now() - startMs) / 1000;
  const rates = before.map((use, index) => computeRates(use, after[index] as typeof use));
  return {
    x,
    hosts: hosts.length,
    cpuShare: computeMean(rates.map(({ cpuShare }) => cpuShare)),
    mostCpuShare: Math.max(...rates.map(({ cpuShare }) => cpuShare)),
    residentBytes: computeMean(rates.map(({ residentBytes }) => residentBytes)),
    sentMessagesPerSecond: (sentAfter - sentBefore) / seconds / hosts.length,
    writtenBytesPerSecond: computeMean(rates.map((rate) => rate.writtenBytesPerSecond)),
    readBytesPerSecond: computeMean(rates.map((rate) => rate.readBytesPerSecond)),
  };
}

/**
 * Builds the result of a slope bench.
 *
 * @param unit - what the axis counts
 * @param points - the measured points
 * @param settings - what is needed to repeat them
 * @returns table with slopes and raw figures
 */
export function buildCapacityResult(
  unit: string,
  points: readonly CapacityPoint[],
  settings: BenchResult['settings'],
): BenchResult {
  const lines = FIELDS.map(([field, , factor]) =>
    computeLine(points.map((point) => ({ x: point.x, y: point[field] * factor }))),
  );
  return {
    settings,
    head: [unit, ...FIELDS.map(([, title]) => title)],
    rows: [
      ...points.map((point) => [
        String(point.x),
        ...FIELDS.map(([field, , factor]) => point[field] * factor),
      ]),
      ['slope', ...lines.map(({ slope }) => slope)],
      ['intercept', ...lines.map(({ intercept }) => intercept)],
      ['r²', ...lines.map(({ r2 }) => r2)],
    ],
    figures: {
      points,
      lines: Object.fromEntries(FIELDS.map(([field], index) => [field, lines[index]])),
    },
  };
}

async function readSent(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(
    fleet.entryHosts.map((host) => readMetricSum(host, 'peer_messages_sent_total')),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}
