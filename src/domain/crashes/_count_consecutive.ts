/**
 * Counts the crashes of a content that followed one another.
 *
 * @module
 */
import type { SuspectRun } from './_suspect.js';

/**
 * Counts consecutive crashes. Servers that crash together, such as those of one rack, end many
 * runs of a popular content at once; these count as one crash. A request that really crashes its
 * servers does so again each time it is resent. As times reported by other entry hosts are off by
 * the crash note's delay, a run counts as later than a crash if most of it is.
 *
 * @param runs - runs in order of their end
 * @returns length of the longest series in which each run started after the previous crash
 */
export function countConsecutive(runs: readonly SuspectRun[]): number {
  let count = 0;
  let lastCrashAtMs = Number.NEGATIVE_INFINITY;
  runs.forEach(({ startedAtMs, endedAtMs }) => {
    const midpointMs = (startedAtMs + endedAtMs) / 2;
    if (midpointMs < lastCrashAtMs || endedAtMs <= lastCrashAtMs) return;
    count += 1;
    lastCrashAtMs = endedAtMs;
  });
  return count;
}
