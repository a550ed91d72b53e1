/**
 * Formats metrics in the Prometheus text format.
 *
 * @module
 */
import type { MetricLabels } from '../../ports/mod.js';

/** Metric types, with the names that the text format uses. */
export enum MetricType {
  Counter = 'counter',
  Gauge = 'gauge',
  Summary = 'summary',
}

function formatLabelValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('\n', '\\n').replaceAll('"', '\\"');
}

function sanitizeName(name: string): string {
  return name.replace(/[^A-Za-z0-9_]/g, '_');
}

/**
 * Formats one sample. Replaces characters that metric and label names must not contain by `_`.
 *
 * @param name - name of the metric
 * @param labels - labels of the sample
 * @param value - value of the sample
 * @returns one line
 */
export function formatSample(name: string, labels: MetricLabels, value: number): string {
  const pairs = Object.entries(labels).map(
    ([label, text]) => `${sanitizeName(label)}="${formatLabelValue(text)}"`,
  );
  const braces = pairs.length > 0 ? `{${pairs.join(',')}}` : '';
  return `${sanitizeName(name)}${braces} ${value}`;
}

/**
 * Formats the `# TYPE` line, which declares the type of a metric.
 *
 * @param name - name of the metric
 * @param type - type of the metric
 * @returns one line
 */
export function formatTypeLine(name: string, type: MetricType): string {
  return `# TYPE ${sanitizeName(name)} ${type}`;
}
