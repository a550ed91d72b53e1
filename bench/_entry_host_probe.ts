/**
 * What benches read from an entry host and from its process.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { ADMIN_KEY, sendJsonControl, sendControl } from '../test/fleet/mod.js';
import type { EntryHost } from '../test/fleet/mod.js';

const CLOCK_TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const RESIDENT_FIELD = 1;

/** What a process has used so far. */
export interface ProcessUse {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes through read calls: sockets above all, as the kernel counts them. */
  readonly readBytes: number;
  /** Bytes through write calls: sockets and log lines. */
  readonly writtenBytes: number;
}

/** Use a second between two readings. */
export interface ProcessRate {
  readonly cpuShare: number;
  readonly readBytesPerSecond: number;
  readonly writtenBytesPerSecond: number;
  readonly residentBytes: number;
}

/** A gauge or counter with its labels. */
export interface MetricSample {
  readonly labels: string;
  readonly value: number;
}

/**
 * Reads what a process has used, from `/proc`.
 *
 * @param pid - which process
 * @returns its use
 */
export function readProcessUse(pid: number): ProcessUse {
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
 * Computes use a second.
 *
 * @param before - first reading
 * @param after - second reading
 * @returns rates; the memory is that of the second reading
 */
export function computeRates(before: ProcessUse, after: ProcessUse): ProcessRate {
  const seconds = (after.atMs - before.atMs) / 1000;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) / seconds,
    readBytesPerSecond: (after.readBytes - before.readBytes) / seconds,
    writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / seconds,
    residentBytes: after.residentBytes,
  };
}

/**
 * Reads a page of the administration API.
 *
 * @param host - which entry host
 * @param path - such as `/v1/configuration`
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
 * @param host - which entry host
 * @param name - its name, without the common prefix
 * @returns all its series
 */
export async function readMetric(host: EntryHost, name: string): Promise<readonly MetricSample[]> {
  const answer = await sendControl(`${host.adminUrl}/metrics`, {
    headers: { authorization: `Bearer ${ADMIN_KEY}` },
  });
  const pattern = new RegExp(`^monsoonhall_${name}(\\{[^}]*\\})? (\\S+)$`, 'gm');
  return [...answer.text.matchAll(pattern)].map((match) => ({
    labels: match[1] ?? '',
    value: Number(match[2]),
  }));
}

/**
 * Adds up all series of a metric.
 *
 * @param host - which entry host
 * @param name - its name, without the common prefix
 * @returns the sum; 0 when there is no series
 */
export async function readMetricSum(host: EntryHost, name: string): Promise<number> {
  const samples = await readMetric(host, name);
  return samples.reduce((sum, sample) => sum + sample.value, 0);
}

/**
 * Waits.
 *
 * @param durationMs - how long, in milliseconds
 * @returns when it is over
 */
export function waitMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
