/**
 * Provides counters, gauges and HDR histograms, exported as Prometheus text.
 *
 * ```ts
 * const metrics = new HdrMetrics({ clock });
 * metrics.record('request_duration_ms', 41.5, { tier: 'urgent' });
 * metrics.exportPrometheus();
 * ```
 *
 * @module
 */
export { HdrMetrics } from './hdr_metrics.js';
export type { HdrMetricsOptions } from './hdr_metrics.js';
