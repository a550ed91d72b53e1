/**
 * Reports the resource usage of this process.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import { getHeapStatistics } from 'node:v8';
import { formatSample, formatTypeLine, MetricType } from './_prometheus_text.js';

const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1000;

/** @returns CPU time, memory and start time of this process as Prometheus text lines */
export function formatProcessMetrics(): readonly string[] {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed, external } = process.memoryUsage();
  const samples: [string, MetricType, number][] = [
    ['process_cpu_seconds_total', MetricType.Counter, (user + system) / MICROSECONDS_PER_SECOND],
    ['process_resident_memory_bytes', MetricType.Gauge, rss],
    ['process_heap_used_bytes', MetricType.Gauge, heapUsed],
    ['process_heap_limit_bytes', MetricType.Gauge, getHeapStatistics().heap_size_limit],
    ['process_external_memory_bytes', MetricType.Gauge, external],
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
