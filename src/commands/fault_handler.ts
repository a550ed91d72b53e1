/**
 * Logs exceptions that nothing has caught, and keeps the process running.
 *
 * @module
 */
import { formatReason, LogLevel } from '../domain/errors/mod.js';
import type { EventLog, Metrics } from '../ports/mod.js';

const UNREADABLE_VALUE = 'a value that cannot be read';

/** Source of exceptions that nothing has caught, such as `process`. */
export interface FaultSource {
  on(event: 'uncaughtException', handler: (thrown: unknown) => void): unknown;
}

/** Where faults are recorded. */
export interface FaultSinks {
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/**
 * Logs uncaught exceptions and keeps running. A fault in one callback concerns one call:
 * ending the process would cut off all others, and a caller that repeats the call would
 * crash the next entry host too. The handler itself must not throw, which would end the process.
 *
 * @param source - source of the exceptions
 * @param sinks - log and metrics
 */
export function registerFaultHandler(source: FaultSource, { log, metrics }: FaultSinks): void {
  source.on('uncaughtException', (thrown) => {
    log.write(LogLevel.Error, 'internal_fault', { reason: formatFault(thrown) });
    metrics.count('internal_faults_total');
  });
}

/** Formats any thrown value; a library may throw one without a stack, or even without a text. */
function formatFault(thrown: unknown): string {
  try {
    return String((thrown instanceof Error ? thrown.stack : undefined) ?? formatReason(thrown));
  } catch {
    return UNREADABLE_VALUE;
  }
}
