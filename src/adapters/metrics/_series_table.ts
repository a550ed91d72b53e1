/**
 * Stores the series of one metric and limits their number.
 *
 * @module
 */
import type { MetricLabels } from '../../ports/mod.js';

const OVERFLOW_LABELS: MetricLabels = { overflow: 'true' };

/** One combination of labels and its value. */
export interface Series<T> {
  readonly labels: MetricLabels;
  value: T;
}

/** Derives a key that is the same in any order of the labels; the lengths keep values apart. */
function deriveSeriesKey(labels: MetricLabels): string {
  const names = Object.keys(labels);
  if (names.length > 1) names.sort();
  let key = '';
  names.forEach((name) => {
    const value = labels[name] ?? '';
    key += `${name}=${value.length}:${value},`;
  });
  return key;
}

/**
 * Maps labels to series. Label values can come from clients and contracts; without a limit, the
 * memory of the process and the size of each scrape would grow until the process is killed. Above
 * the limit all values go into one series labelled `overflow="true"`.
 */
export class SeriesTable<T> {
  readonly #series = new Map<string, Series<T>>();

  readonly #maxSeries: number;

  readonly #createValue: () => T;

  /**
   * @param maxSeries - maximum number of series, not counting the overflow series
   * @param create - creates the initial value of a new series
   */
  constructor(maxSeries: number, create: () => T) {
    this.#maxSeries = maxSeries;
    this.#createValue = create;
  }

  /** @param labels - labels of the series. @returns that series, or the overflow series */
  getOrCreate(labels: MetricLabels): Series<T> {
    const key = deriveSeriesKey(labels);
    const found = this.#series.get(key);
    if (found) return found;
    if (this.#series.size >= this.#maxSeries && labels !== OVERFLOW_LABELS)
      return this.getOrCreate(OVERFLOW_LABELS);
    const series = { labels, value: this.#createValue() };
    this.#series.set(key, series);
    return series;
  }

  /** @returns all series in the order of their creation */
  listSeries(): readonly Series<T>[] {
    return [...this.#series.values()];
  }
}
