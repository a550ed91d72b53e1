/**
 * Counters and histograms, as the application sees them.
 *
 * @module
 */

/** Labels of one series. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Takes measurements. */
export abstract class Metrics {
  /**
   * @param name - the counter's name in snake_case, ending in `_total`
   * @param labels - the series
   * @param by - how much to add; 1 by default
   */
  abstract count(name: string, labels?: MetricLabels, by?: number): void;

  /**
   * @param name - the histogram's name in snake_case, with its unit
   * @param value - the value to record, in the named unit
   * @param labels - the series
   */
  abstract record(name: string, value: number, labels?: MetricLabels): void;

  /**
   * @param name - the gauge's name in snake_case
   * @param value - its value from now on
   * @param labels - the series
   */
  abstract set(name: string, value: number, labels?: MetricLabels): void;
}
