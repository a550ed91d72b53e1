/**
 * Reports the resource usage of this process.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import { formatSample, formatTypeLine, MetricType } from './_prometheus_text.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1000;

/** @returns CPU time, resident memory and start time of this process as Prometheus text lines */
export function formatProcessMetrics(): readonly string[] {
  const { user, system } = process.cpuUsage();
  const samples: [string, MetricType, number][] = [
    ['process_cpu_seconds_total', MetricType.Counter, (user + system) / MICROSECONDS_PER_SECOND],
    ['process_resident_memory_bytes', MetricType.Gauge, process.memoryUsage.rss()],
    [
      'process_start_time_seconds',
      MetricType.Gauge,
      performance.timeOrigin / MILLISECONDS_PER_SECOND,
    ],
  ];
  return samples.flatMap(([name, type, value]) => [
    formatTypeLine(name, type),
    formatSample(name, {}, value),
  ]);
}
