/**
 * Defines the counters, histograms and gauges that the application records.
 *
 * @module
 */

/** Labels that identify one time series of a metric. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Records measurements. */
export abstract class Metrics {
  /**
   * Increments a counter.
   *
   * @param name - the counter's name in snake_case, ending in `_total`
   * @param labels - labels of the series
   * @param by - the increment; 1 by default
   */
  abstract count(name: string, labels?: MetricLabels, by?: number): void;

  /**
   * Records a value in a histogram.
   *
   * @param name - the histogram's name in snake_case, with its unit
   * @param value - the value to record, in the unit of the name
   * @param labels - labels of the series
   */
  abstract record(name: string, value: number, labels?: MetricLabels): void;

  /**
   * Sets a gauge.
   *
   * @param name - the gauge's name in snake_case
   * @param value - the new value
   * @param labels - labels of the series
   */
  abstract set(name: string, value: number, labels?: MetricLabels): void;
}
