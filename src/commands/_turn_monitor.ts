/**
 * Creates the measure of the turns of this process's event loop.
 *
 * @module
 */
import { TurnMonitor } from '../application/turns/mod.js';
import type { TurnMonitorOptions } from '../application/turns/mod.js';

const MICROSECONDS_PER_MS = 1_000;

/**
 * @param parts - clock, log and metrics
 * @returns the measure, not started yet
 */
export function createTurnMonitor(
  parts: Omit<TurnMonitorOptions, 'measureProcessorMs'>,
): TurnMonitor {
  return new TurnMonitor({ ...parts, measureProcessorMs });
}

function measureProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}
