/**
 * Implements the `Metrics` port in memory.
 *
 * @module
 */
import { Metrics } from '../../ports/mod.js';
import type { Clock, MetricLabels } from '../../ports/mod.js';
import { formatProcessMetrics } from './_process_metrics.js';
import { formatSample, formatTypeLine, MetricType } from './_prometheus_text.js';
import { RollingHistogram } from './_rolling_histogram.js';
import { SeriesTable } from './_series_table.js';

const PREFIX = 'monsoonhall_';
const QUANTILES = [0.5, 0.95, 0.99, 0.999];
const DEFAULT_WINDOW_MS = 60_000;
const DEFAULT_MAX_SERIES = 4096;
/** Lower than for counters: a histogram uses about 30 kB, a counter a few hundred bytes. */
const DEFAULT_MAX_HISTOGRAM_SERIES = 64;

/** Options of {@link HdrMetrics}. */
export interface HdrMetricsOptions {
  /** Clock that determines when a histogram window ends. */
  readonly clock: Clock;
  /** Duration of a window in ms; quantiles cover the last one to two windows. Default: 60,000. */
  readonly windowMs?: number;
  /** Maximum number of series of one counter or gauge. Default: 4096. */
  readonly maxSeries?: number;
  /** Maximum number of series of one histogram. Default: 64. */
  readonly maxHistogramSeries?: number;
}

function getOrCreateTable<T>(
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

/** Stores counters, gauges and HDR histograms, and exports them as Prometheus text. */
export class HdrMetrics extends Metrics {
  readonly #options: Required<HdrMetricsOptions>;

  readonly #counters = new Map<string, SeriesTable<number>>();

  readonly #gauges = new Map<string, SeriesTable<number>>();

  readonly #histograms = new Map<string, SeriesTable<RollingHistogram>>();

  /** @param options - clock, window duration and series limits */
  constructor(options: HdrMetricsOptions) {
    super();
    this.#options = {
      windowMs: DEFAULT_WINDOW_MS,
      maxSeries: DEFAULT_MAX_SERIES,
      maxHistogramSeries: DEFAULT_MAX_HISTOGRAM_SERIES,
      ...options,
    };
  }

  override count(name: string, labels: MetricLabels = {}, increment = 1): void {
    this.#getNumberTable(this.#counters, name).getOrCreate(labels).value += increment;
  }

  override record(name: string, value: number, labels: MetricLabels = {}): void {
    const { clock, windowMs, maxHistogramSeries } = this.#options;
    const create = (): RollingHistogram => new RollingHistogram(clock, windowMs);
    getOrCreateTable(this.#histograms, name, () => new SeriesTable(maxHistogramSeries, create))
      .getOrCreate(labels)
      .value.record(value);
  }

  override set(name: string, value: number, labels: MetricLabels = {}): void {
    this.#getNumberTable(this.#gauges, name).getOrCreate(labels).value = value;
  }

  /**
   * Sums the series of a counter, grouped by the values of one label. Series without that label
   * count towards the group `other`.
   *
   * @param name - name of the counter
   * @param label - label to group by
   * @returns the sum for each value of the label
   */
  sumByLabel(name: string, label: string): Readonly<Record<string, number>> {
    const sums: Record<string, number> = {};
    this.#counters
      .get(name)
      ?.listSeries()
      .forEach(({ labels, value }) => {
        const group = labels[label] ?? 'other';
        sums[group] = (sums[group] ?? 0) + value;
      });
    return sums;
  }

  /** @returns all series as Prometheus text; metric names have the prefix `monsoonhall_` */
  exportPrometheus(): string {
    const lines = [
      ...this.#formatNumberTables(this.#counters, MetricType.Counter),
      ...this.#formatNumberTables(this.#gauges, MetricType.Gauge),
      ...[...this.#histograms].flatMap(([name, table]) => this.#formatSummary(name, table)),
      ...formatProcessMetrics(),
    ];
    return `${lines.join('\n')}\n`;
  }

  #getNumberTable(tables: Map<string, SeriesTable<number>>, name: string): SeriesTable<number> {
    return getOrCreateTable(tables, name, () => new SeriesTable(this.#options.maxSeries, () => 0));
  }

  #formatNumberTables(tables: Map<string, SeriesTable<number>>, type: MetricType): string[] {
    return [...tables].flatMap(([name, table]) => [
      formatTypeLine(PREFIX + name, type),
      ...table.listSeries().map(({ labels, value }) => formatSample(PREFIX + name, labels, value)),
    ]);
  }

  #formatSummary(name: string, table: SeriesTable<RollingHistogram>): string[] {
    const fullName = PREFIX + name;
    const samples = table.listSeries().flatMap(({ labels, value }) => {
      const quantiles = value.computeQuantiles(QUANTILES) ?? QUANTILES.map(() => Number.NaN);
      return [
        ...quantiles.map((quantile, index) =>
          formatSample(fullName, { ...labels, quantile: String(QUANTILES[index]) }, quantile),
        ),
        formatSample(`${fullName}_sum`, labels, value.sum),
        formatSample(`${fullName}_count`, labels, value.count),
      ];
    });
    return [formatTypeLine(fullName, MetricType.Summary), ...samples];
  }
}
