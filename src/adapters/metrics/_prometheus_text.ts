/**
 * The Prometheus text format.
 *
 * @module
 */
import type { MetricLabels } from '../../ports/mod.js';

/** Types of metrics as the format names them. */
export enum MetricType {
  Counter = 'counter',
  Gauge = 'gauge',
  Summary = 'summary',
}

function formatLabelValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('\n', '\\n').replaceAll('"', '\\"');
}

function formatName(name: string): string {
  return name.replace(/[^A-Za-z0-9_]/g, '_');
}

/**
 * Formats one sample.
 *
 * @param name - the metric's name
 * @param labels - its labels
 * @param value - its value
 * @returns one line
 */
export function formatSample(name: string, labels: MetricLabels, value: number): string {
  const pairs = Object.entries(labels).map(
    ([label, text]) => `${formatName(label)}="${formatLabelValue(text)}"`,
  );
  const braces = pairs.length > 0 ? `{${pairs.join(',')}}` : '';
  return `${formatName(name)}${braces} ${value}`;
}

/**
 * Formats the line that tells a metric's type.
 *
 * @param name - the metric's name
 * @param type - its type
 * @returns one line
 */
export function formatType(name: string, type: MetricType): string {
  return `# TYPE ${formatName(name)} ${type}`;
}
