/**
 * Records calls that are refused before they begin.
 *
 * @module
 */
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import type { DirectRequest, EventLog, Metrics } from '../../ports/mod.js';
import type { RoutingView } from './routing_view.js';

/** Where refusals are recorded, and the configuration that decided them. */
export interface RefusalLogOptions {
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly routing: RoutingView;
}

/**
 * Writes the log line of a refusal and counts it.
 *
 * @param options - log, metrics and configuration
 * @param request - the refused call
 * @param error - what was thrown while the call was checked
 * @returns the refusal
 */
export function recordRefusal(
  { log, metrics, routing }: RefusalLogOptions,
  request: DirectRequest,
  error: unknown,
): SchedulerError {
  const refusal =
    error instanceof SchedulerError
      ? error
      : new SchedulerError(ErrorKind.Internal, { cause: error });
  const level = refusal.kind === ErrorKind.Internal ? LogLevel.Error : LogLevel.Info;
  log.write(level, 'call_refused', {
    requestId: request.requestId,
    path: request.path,
    kind: refusal.kind,
    run: refusal.run,
    retryAfterMs: refusal.retryAfterMs,
    configurationVersion: routing.table?.version,
    configurationAgeMs: Math.round(routing.computeAgeMs()),
    reason: String(refusal.cause ?? refusal.message),
  });
  metrics.count('calls_ended_total', { event: 'call_refused', kind: refusal.kind });
  return refusal;
}
