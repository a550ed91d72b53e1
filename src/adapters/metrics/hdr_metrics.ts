/**
 * Metrics kept in this process.
 *
 * @module
 */
import { Metrics } from '../../ports/mod.js';
import type { Clock, MetricLabels } from '../../ports/mod.js';
import { listProcessMetrics } from './_process_metrics.js';
import { formatSample, formatType, MetricType } from './_prometheus_text.js';
import { RollingHistogram } from './_rolling_histogram.js';
import { SeriesTable } from './_series_table.js';

const PREFIX = 'monsoonhall_';
const QUANTILES = [0.5, 0.95, 0.99, 0.999];
const DEFAULT_WINDOW_MS = 60_000;
const DEFAULT_MAX_SERIES = 4096;
/** A histogram takes about thirty kilobytes, a counter a few hundred bytes. */
const DEFAULT_MAX_HISTOGRAM_SERIES = 64;

/** Options of {@link HdrMetrics}. */
export interface HdrMetricsOptions {
  /** Tells when a histogram's window ends. */
  readonly clock: Clock;
  /** Quantiles cover the last one to two windows of this length, in milliseconds. Default: 60,000. */
  readonly windowMs?: number;
  /** Most series of one counter or gauge. Default: 4096. */
  readonly maxSeries?: number;
  /** Most series of one histogram. Default: 64. */
  readonly maxHistogramSeries?: number;
}

function takeTable<T>(
  tables: Map<string, SeriesTable<T>>,
  name: string,
  create: () => SeriesTable<T>,
): SeriesTable<T> {
  const found = tables.get(name);
  if (found) return found;
  const table = create();
  tables.set(name, table);
  return table;
}

/** Keeps counters, gauges and HDR histograms, and exports them as Prometheus text. */
export class HdrMetrics extends Metrics {
  readonly #options: Required<HdrMetricsOptions>;

  readonly #counters = new Map<string, SeriesTable<number>>();

  readonly #gauges = new Map<string, SeriesTable<number>>();

  readonly #histograms = new Map<string, SeriesTable<RollingHistogram>>();

  /** @param options - clock, window and bounds */
  constructor(options: HdrMetricsOptions) {
    super();
    this.#options = {
      windowMs: DEFAULT_WINDOW_MS,
      maxSeries: DEFAULT_MAX_SERIES,
      maxHistogramSeries: DEFAULT_MAX_HISTOGRAM_SERIES,
      ...options,
    };
  }

  override count(name: string, labels: MetricLabels = {}, by = 1): void {
    this.#takeNumbers(this.#counters, name).take(labels).value += by;
  }

  override record(name: string, value: number, labels: MetricLabels = {}): void {
    const { clock, windowMs, maxHistogramSeries } = this.#options;
    const create = (): RollingHistogram => new RollingHistogram(clock, windowMs);
    takeTable(this.#histograms, name, () => new SeriesTable(maxHistogramSeries, create))
      .take(labels)
      .value.record(value);
  }

  override set(name: string, value: number, labels: MetricLabels = {}): void {
    this.#takeNumbers(this.#gauges, name).take(labels).value = value;
  }

  /**
   * Adds a counter up by one of its labels.
   *
   * @param name - the counter's name
   * @param label - the label to group by
   * @returns the sums by the label's values
   */
  computeSums(name: string, label: string): Readonly<Record<string, number>> {
    const sums: Record<string, number> = {};
    this.#counters
      .get(name)
      ?.list()
      .forEach(({ labels, value }) => {
        const group = labels[label] ?? 'other';
        sums[group] = (sums[group] ?? 0) + value;
      });
    return sums;
  }

  /** @returns every series as Prometheus text, names with the prefix `monsoonhall_` */
  exportPrometheus(): string {
    const lines = [
      ...this.#listNumbers(this.#counters, MetricType.Counter),
      ...this.#listNumbers(this.#gauges, MetricType.Gauge),
      ...[...this.#histograms].flatMap(([name, table]) => this.#listSummary(name, table)),
      ...listProcessMetrics(),
    ];
    return `${lines.join('\n')}\n`;
  }

  #takeNumbers(tables: Map<string, SeriesTable<number>>, name: string): SeriesTable<number> {
    return takeTable(tables, name, () => new SeriesTable(this.#options.maxSeries, () => 0));
  }

  #listNumbers(tables: Map<string, SeriesTable<number>>, type: MetricType): string[] {
    return [...tables].flatMap(([name, table]) => [
      formatType(PREFIX + name, type),
      ...table.list().map(({ labels, value }) => formatSample(PREFIX + name, labels, value)),
    ]);
  }

  #listSummary(name: string, table: SeriesTable<RollingHistogram>): string[] {
    const fullName = PREFIX + name;
    const samples = table.list().flatMap(({ labels, value }) => {
      const quantiles = value.listQuantiles(QUANTILES) ?? QUANTILES.map(() => Number.NaN);
      return [
        ...quantiles.map((quantile, index) =>
          formatSample(fullName, { ...labels, quantile: String(QUANTILES[index]) }, quantile),
        ),
        formatSample(`${fullName}_sum`, labels, value.sum),
        formatSample(`${fullName}_count`, labels, value.count),
      ];
    });
    return [formatType(fullName, MetricType.Summary), ...samples];
  }
}
