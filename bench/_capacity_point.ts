/**
 * Measures the resource usage of a fleet's entry hosts and fits lines through the measured points.
 *
 * @module
 */
import type { Fleet } from '../test/fleet/mod.js';
import type { BenchResult } from './bench.js';
import { computeRates, readMetricSum, readProcessUsage, sleep } from './_entry_host_probe.js';
import { fitLine, computeMean } from './_statistics.js';

/** Pause after the metrics are read, so that the reads don't count as usage. */
const SETTLE_MS = 500;

/** Usage at one load: means over the entry hosts. */
export interface CapacityPoint {
  /** Value on the load axis. */
  readonly x: number;
  readonly hosts: number;
  /** Fraction of one core. */
  readonly cpuShare: number;
  readonly mostCpuShare: number;
  readonly residentBytes: number;
  readonly sentMessagesPerSecond: number;
  /** Bytes through write calls of the process, as counted by the kernel. */
  readonly writtenBytesPerSecond: number;
  readonly readBytesPerSecond: number;
}

/** Table columns: member of a point, title and conversion factor. */
const COLUMNS = [
  ['cpuShare', '% of a core', 100],
  ['residentBytes', 'resident MiB', 1 / 2 ** 20],
  ['sentMessagesPerSecond', 'messages sent/s', 1],
  ['writtenBytesPerSecond', 'KB written/s', 1 / 1000],
  ['readBytesPerSecond', 'KB read/s', 1 / 1000],
] as const;

/**
 * Measures the usage of all entry hosts while an action runs.
 *
 * @param fleet - a running fleet
 * @param x - value on the load axis
 * @param action - the action to measure
 * @returns the point
 */
export async function measureCapacityPoint(
  fleet: Fleet,
  x: number,
  action: () => Promise<void>,
): Promise<CapacityPoint> {
  const hosts = fleet.entryHosts;
  // A metrics page is larger than one second of control messages, so it is read before and after
  // the interval in which bytes are counted.
  const sentBefore = await sumSentMessages(fleet);
  const startMs = performance.now();
  await sleep(SETTLE_MS);
  const before = hosts.map(({ pid }) => readProcessUsage(pid));
  await action();
  const after = hosts.map(({ pid }) => readProcessUsage(pid));
  const sentAfter = await sumSentMessages(fleet);
  const seconds = (performance.now() - startMs) / 1000;
  const rates = before.map((usage, index) => computeRates(usage, after[index] as typeof usage));
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
 * Builds the result of a capacity bench.
 *
 * @param unit - unit of the load axis
 * @param points - the measured points
 * @param settings - settings needed to repeat the bench
 * @returns a table with fitted slopes, and the raw figures
 */
export function buildCapacityResult(
  unit: string,
  points: readonly CapacityPoint[],
  settings: BenchResult['settings'],
): BenchResult {
  const fits = COLUMNS.map(([field, , factor]) =>
    fitLine(points.map((point) => ({ x: point.x, y: point[field] * factor }))),
  );
  return {
    settings,
    head: [unit, ...COLUMNS.map(([, title]) => title)],
    rows: [
      ...points.map((point) => [
        String(point.x),
        ...COLUMNS.map(([field, , factor]) => point[field] * factor),
      ]),
      ['slope', ...fits.map(({ slope }) => slope)],
      ['intercept', ...fits.map(({ intercept }) => intercept)],
      ['r²', ...fits.map(({ r2 }) => r2)],
    ],
    figures: {
      points,
      lines: Object.fromEntries(COLUMNS.map(([field], index) => [field, fits[index]])),
    },
  };
}

async function sumSentMessages(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(
    fleet.entryHosts.map((host) => readMetricSum(host, 'peer_messages_sent_total')),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}
