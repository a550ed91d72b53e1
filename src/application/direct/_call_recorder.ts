/**
 * Log lines and metrics of one call.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { ClientAccount, Route } from '../../domain/routing/mod.js';
import type { DirectRequest, LogFields } from '../../ports/mod.js';
import type { AttemptResult } from './_direct_attempt.js';
import type { DirectServices } from './direct_services.js';

/** Whose call is recorded. */
export interface CallRecorderOptions {
  readonly services: DirectServices;
  readonly request: DirectRequest;
  readonly contentId: string;
  readonly route: Route;
  readonly account: ClientAccount | undefined;
  readonly arrivedAtMs: number;
}

/** Writes one line a decision, with the request's ID and what decided. */
export class CallRecorder {
  readonly #options: CallRecorderOptions;

  /** @param options - whose call */
  constructor(options: CallRecorderOptions) {
    this.#options = options;
  }

  /**
   * @param backendServer - whom it is sent to
   * @param details - what decided
   */
  recordDispatch(backendServer: string, details: LogFields): void {
    const { routing } = this.#options.services;
    this.#write('call_dispatched', {
      backendServer,
      ...details,
      waitedMs: this.#computeElapsedMs(),
      configurationVersion: routing.table?.version,
      configurationAgeMs: Math.round(routing.computeAgeMs()),
    });
  }

  /**
   * @param backendServer - whom it was sent to
   * @param attempt - number of the try
   * @param end - how it ended
   */
  recordAttemptFailure(
    backendServer: string,
    attempt: number,
    { failure, reason }: AttemptResult,
  ): void {
    this.#write('attempt_failed', { backendServer, failure, reason, attempt });
    this.#options.services.metrics.count('attempts_failed_total', { failure: String(failure) });
  }

  /**
   * @param event - how the call ended
   * @param fields - what decided
   */
  recordEnd(event: string, fields: LogFields): void {
    const { metrics } = this.#options.services;
    const totalMs = this.#computeElapsedMs();
    this.#write(event, { totalMs, ...fields });
    metrics.count('calls_ended_total', { event, kind: String(fields.kind ?? 'none') });
    metrics.record('call_duration_ms', totalMs, { event });
  }

  #computeElapsedMs(): number {
    return Math.round(this.#options.services.clock.nowMs() - this.#options.arrivedAtMs);
  }

  #write(event: string, fields: LogFields): void {
    const { services, request, contentId, account, route } = this.#options;
    services.log.write(LogLevel.Info, event, {
      requestId: request.requestId,
      contentId,
      account: account?.id,
      route: route.name,
      ...fields,
    });
  }
}

/**
 * @param serverId - life of the backend server that has answered
 * @param end - how the try ended
 * @returns fields of the call's last log line
 */
export function buildAnswerFields(serverId: string, end: AttemptResult): LogFields {
  return {
    backendServer: serverId,
    status: end.status,
    firstByteMs: Math.round(end.firstByteMs),
    predictedFirstByteMs: Math.round(end.predictedFirstByteMs),
    outputTokens: end.outputTokens,
    longestPauseMs: end.stream && Math.round(end.stream.longestPauseMs),
  };
}
