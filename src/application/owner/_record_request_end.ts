/**
 * Writes the log event and the metrics of the end of a request.
 *
 * @module
 */
import { ERROR_TABLE, LogLevel } from '../../domain/errors/mod.js';
import { TIER_NAMES } from '../../domain/scheduling/mod.js';
import type { Clock, EventLog, Metrics } from '../../ports/mod.js';
import type { OwnedCall } from './owned_call.js';
import type { OwnedRequest } from './owned_request.js';

/** Outputs to which the end of a request is recorded. */
export interface RequestEndPorts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/**
 * Records how a request ended.
 *
 * @param ports - clock, log and metrics
 * @param request - the request, in a final state
 * @param call - the request's call
 * @param startedAtMs - time at which the owner accepted it, monotonic, in milliseconds
 */
export function recordRequestEnd(
  { clock, log, metrics }: RequestEndPorts,
  request: OwnedRequest,
  call: OwnedCall,
  startedAtMs: number,
): void {
  const { error, id, state, run } = request.record;
  const tier = TIER_NAMES[call.work.tier];
  const totalMs = clock.nowMs() - startedAtMs;
  metrics.record('request_duration_ms', totalMs, { tier });
  metrics.count('requests_total', { tier, result: error?.kind ?? 'answered' });
  log.write(error ? ERROR_TABLE[error.kind].logLevel : LogLevel.Info, 'request_ended', {
    requestId: id.text,
    contentId: request.contentId,
    account: call.account.accountId,
    service: call.service.id,
    tier,
    state,
    run,
    kind: error?.kind,
    reason: error?.message,
    backendServer: request.backendServerId,
    totalMs: Math.round(totalMs),
    answerBytes: request.answer.length,
  });
}
