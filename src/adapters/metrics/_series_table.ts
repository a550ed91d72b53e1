/**
 * The series of one metric, bounded in number.
 *
 * @module
 */
import type { MetricLabels } from '../../ports/mod.js';

const OVERFLOW_LABELS: MetricLabels = { overflow: 'true' };

/** One series. */
export interface Series<T> {
  readonly labels: MetricLabels;
  value: T;
}

function deriveSeriesKey(labels: MetricLabels): string {
  return JSON.stringify(Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1)));
}

/**
 * Series by their labels. Labels can grow with what callers and contracts
 * name; without a bound the process would grow until it is killed, and the
 * scrape with it. Beyond the bound everything goes into one series labelled
 * `overflow="true"`.
 */
export class SeriesTable<T> {
  readonly #series = new Map<string, Series<T>>();

  readonly #maxSeries: number;

  readonly #create: () => T;

  /**
   * @param maxSeries - most series besides the overflow
   * @param create - makes a new series' value
   */
  constructor(maxSeries: number, create: () => T) {
    this.#maxSeries = maxSeries;
    this.#create = create;
  }

  /** @param labels - which series. @returns it, or the overflow's */
  take(labels: MetricLabels): Series<T> {
    const key = deriveSeriesKey(labels);
    const found = this.#series.get(key);
    if (found) return found;
    if (this.#series.size >= this.#maxSeries && labels !== OVERFLOW_LABELS)
      return this.take(OVERFLOW_LABELS);
    const series = { labels, value: this.#create() };
    this.#series.set(key, series);
    return series;
  }

  /** @returns every series, in the order in which they came */
  list(): readonly Series<T>[] {
    return [...this.#series.values()];
  }
}
