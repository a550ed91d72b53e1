/**
 * Provides least-squares fitting, means and latency percentiles for the benches.
 *
 * @module
 */
import { createHistogram, summarizeLatency, recordMs } from '../src/load/mod.js';
import type { LatencySummary } from '../src/load/mod.js';

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line fitted by least squares. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination: the fraction of the variance that the line explains. */
  readonly r2: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - points with at least two different `x`
 * @returns the fitted line
 */
export function fitLine(points: readonly Point[]): Line {
  const meanX = computeMean(points.map((point) => point.x));
  const meanY = computeMean(points.map((point) => point.y));
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const sumYY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const slope = sumXY / sumXX;
  const r2 = sumYY === 0 ? 1 : sumXY ** 2 / (sumXX * sumYY);
  return { slope, intercept: meanY - slope * meanX, r2 };
}

/**
 * Computes the arithmetic mean.
 *
 * @param values - at least one value
 * @returns the mean
 */
export function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Computes the percentiles of a list of times.
 *
 * @param values - times in milliseconds
 * @returns the summary with percentiles and maximum
 */
export function computeLatency(values: readonly number[]): LatencySummary {
  const histogram = createHistogram();
  values.forEach((value) => recordMs(histogram, value));
  return summarizeLatency(histogram);
}
