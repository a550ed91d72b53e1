/**
 * Runs steps that must not keep others from running.
 *
 * @module
 */
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { EventLog } from '../../ports/mod.js';

/**
 * Runs a step, and logs a fault in it.
 *
 * @param log - receives a line for a fault
 * @param step - the step
 */
export function runGuarded(log: EventLog, step: () => void): void {
  try {
    step();
  } catch (error) {
    log.write(LogLevel.Error, 'internal_fault', { reason: formatReason(error) });
  }
}
