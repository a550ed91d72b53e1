/**
 * The speed from which a server starts of which nothing is known.
 *
 * @module
 */
import type { SpeedEstimate } from '../scheduling/server_speed.js';

/**
 * Computes the median of each part of some speeds.
 *
 * @param estimates - the speeds; at least one
 * @returns the medians
 */
export function computeMedianSpeed(estimates: readonly SpeedEstimate[]): SpeedEstimate {
  return {
    fixedMs: computeMedian(estimates.map(({ fixedMs }) => fixedMs)),
    prefillMsPerToken: computeMedian(estimates.map((speed) => speed.prefillMsPerToken)),
    decodeMsPerToken: computeMedian(estimates.map((speed) => speed.decodeMsPerToken)),
  };
}

function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
