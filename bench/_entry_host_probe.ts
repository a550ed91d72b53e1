/**
 * Reads the metrics and administration API of an entry host, and the resource usage of its process.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { ADMIN_KEY, sendJsonControl, sendControl } from '../test/fleet/mod.js';
import type { EntryHost } from '../test/fleet/mod.js';

const CLOCK_TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
/** Fields of `/proc/PID/stat`, counted after the command name, and of `/proc/PID/statm`. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const RESIDENT_FIELD = 1;

/** Cumulative resource usage of a process. */
export interface ProcessUsage {
  /** Time of the reading. */
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes through read calls, mostly of sockets, as counted by the kernel. */
  readonly readBytes: number;
  /** Bytes through write calls of sockets and log lines. */
  readonly writtenBytes: number;
}

/** Rates between two readings. */
export interface UsageRate {
  /** Fraction of one core. */
  readonly cpuShare: number;
  readonly readBytesPerSecond: number;
  readonly writtenBytesPerSecond: number;
  readonly residentBytes: number;
}

/** One series of a gauge or counter. */
export interface MetricSample {
  readonly labels: string;
  readonly value: number;
}

/**
 * Reads the resource usage of a process from `/proc`.
 *
 * @param pid - the process ID
 * @returns its usage so far
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const statm = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  return {
    atMs: performance.now(),
    cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
    residentBytes: Number(statm[RESIDENT_FIELD]) * PAGE_BYTES,
    readBytes: Number(/rchar: (\d+)/.exec(io)?.[1] ?? 0),
    writtenBytes: Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0),
  };
}

/**
 * Computes the rates between two readings.
 *
 * @param before - first reading
 * @param after - second reading
 * @returns the rates, with the resident memory of the second reading
 */
export function computeRates(before: ProcessUsage, after: ProcessUsage): UsageRate {
  const seconds = (after.atMs - before.atMs) / 1000;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    readBytesPerSecond: (after.readBytes - before.readBytes) / seconds,
    writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / seconds,
    residentBytes: after.residentBytes,
  };
}

/**
 * Reads a resource of the administration API.
 *
 * @param host - the entry host
 * @param path - path such as `/v1/configuration`
 * @returns the decoded JSON
 */
export function readAdmin<T>(host: EntryHost, path: string): Promise<T> {
  return sendJsonControl<T>(`${host.adminUrl}${path}`, {
    headers: { authorization: `Bearer ${ADMIN_KEY}` },
  });
}

/**
 * Reads one metric of an entry host.
 *
 * @param host - the entry host
 * @param name - the metric's name without the common prefix
 * @returns all its series
 */
export async function readMetric(host: EntryHost, name: string): Promise<readonly MetricSample[]> {
  const response = await sendControl(`${host.adminUrl}/metrics`, {
    headers: { authorization: `Bearer ${ADMIN_KEY}` },
  });
  const pattern = new RegExp(`^monsoonhall_${name}(\\{[^}]*\\})? (\\S+)$`, 'gm');
  return [...response.text.matchAll(pattern)].map((match) => ({
    labels: match[1] ?? '',
    value: Number(match[2]),
  }));
}

/**
 * Sums all series of a metric.
 *
 * @param host - the entry host
 * @param name - the metric's name without the common prefix
 * @returns the sum; 0 if there is no series
 */
export async function readMetricSum(host: EntryHost, name: string): Promise<number> {
  const samples = await readMetric(host, name);
  return samples.reduce((sum, sample) => sum + sample.value, 0);
}

/**
 * Waits for a duration.
 *
 * @param durationMs - duration in milliseconds
 * @returns a promise that resolves after the duration
 */
export function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
