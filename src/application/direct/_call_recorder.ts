/**
 * Writes the log lines and metrics of one call.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import type { RetryDecision } from '../../domain/direct/mod.js';
import { formatReason, LogLevel } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { ClientAccount, Route } from '../../domain/routing/mod.js';
import type { DirectRequest, LogFields } from '../../ports/mod.js';
import type { RequestDetails } from '../crashes/mod.js';
import type { DirectAttemptResult } from './_attempt_result.js';
import { deriveAttemptCause, EndCause } from './_end_cause.js';
import type { DirectServices } from './direct_services.js';

/** Maximum number of parts of a prompt that one log line names. */
const MAX_LOGGED_PARTS = 8;

/** Log event of a call whose answer had begun and was broken off. */
const BROKEN_OFF_EVENT = 'call_broken_off';

/** The call to record, and where the log and metrics go. */
export interface CallRecorderOptions {
  readonly services: DirectServices;
  readonly request: DirectRequest;
  readonly contentId: string;
  readonly details: RequestDetails;
  readonly route: Route;
  readonly account: ClientAccount | undefined;
  readonly arrivedAtMs: number;
}

/** Logs each decision on a call with its request ID and the values that the decision used. */
export class CallRecorder {
  readonly #options: CallRecorderOptions;

  /** Why the last attempt failed. */
  #attemptCause: EndCause | undefined;

  /** @param options - the call to record */
  constructor(options: CallRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records that the call is sent to a backend server.
   *
   * @param server - registry entry of the backend server
   * @param load - its load before the call
   * @param details - further values that the decision used
   */
  recordDispatch(server: BackendServerEntry, load: ServerLoad, details: LogFields): void {
    const { routing, servers } = this.#options.services;
    this.#write('call_dispatched', {
      backendServer: server.id,
      version: server.softwareVersion,
      inFlight: load.inFlight,
      ...details,
      requestsPerSecond: servers.notices.rateLimits.find(server.id),
      ...load.pace.slots.describe(),
      waitedMs: this.#computeElapsedMs(),
      configurationVersion: routing.table?.version,
      configurationAgeMs: Math.round(routing.computeAgeMs()),
    });
  }

  /**
   * Records a failed attempt.
   *
   * @param backendServer - incarnation ID of the backend server
   * @param attempt - number of the attempt, from 1
   * @param result - result of the attempt
   */
  recordAttemptFailure(
    backendServer: string,
    attempt: number,
    { failure, reason }: DirectAttemptResult,
  ): void {
    const parts = this.#options.details.partIds.slice(0, MAX_LOGGED_PARTS).join();
    const cause = failure && deriveAttemptCause(failure, reason);
    this.#attemptCause = cause;
    this.#write('attempt_failed', { backendServer, failure, cause, reason, attempt, parts });
    this.#options.services.metrics.count('attempts_failed_total', { failure: String(failure) });
  }

  /** @param result - result of an attempt, whose answer may have ended */
  recordAnswerEnd({ answerEnd }: DirectAttemptResult): void {
    if (answerEnd) this.#options.services.metrics.count('answers_ended_total', { end: answerEnd });
  }

  /**
   * Records whether the retry budget of a service grants the call another attempt.
   *
   * @param service - ID of the service
   * @param decision - the decision and the counts that it used
   */
  recordRetry(service: string, { isGranted, ...counts }: RetryDecision): void {
    this.#write(isGranted ? 'retry_granted' : 'retry_refused', { service, ...counts });
    const result = isGranted ? 'granted' : 'refused';
    this.#options.services.metrics.count('retries_decided_total', { result });
  }

  /**
   * Records that a silent attempt is kept, since nothing better follows.
   *
   * @param backendServer - incarnation ID of the backend server
   * @param reason - what another attempt lacks
   */
  recordKept(backendServer: string, reason: string): void {
    this.#write('attempt_kept', { backendServer, reason, totalMs: this.#computeElapsedMs() });
    this.#options.services.metrics.count('silent_attempts_kept_total', { reason });
  }

  /**
   * Records that a silent attempt is given up, since another server answers in its place.
   *
   * @param backendServer - incarnation ID of the silent server
   * @param followedBy - incarnation ID of the other one
   */
  recordGivenUp(backendServer: string, followedBy: string): void {
    this.#write('attempt_given_up', {
      backendServer,
      followedBy,
      totalMs: this.#computeElapsedMs(),
    });
    this.#options.services.metrics.count('silent_attempts_given_up_total');
  }

  /** @param error - what was thrown while the call was dispatched or refused */
  recordFault(error: unknown): void {
    this.#write('call_dispatch_failed', { reason: formatReason(error) }, LogLevel.Error);
    this.#options.services.metrics.count('call_dispatch_faults_total');
  }

  /**
   * Records the end of the call.
   *
   * @param event - log event that says how the call ended
   * @param fields - values that the decision used
   */
  recordEnd(event: string, fields: LogFields): void {
    const { metrics, routing } = this.#options.services;
    const totalMs = this.#computeElapsedMs();
    const { cause } = fields;
    const attemptCause = cause === undefined ? undefined : this.#attemptCause;
    const configurationAgeMs =
      cause === EndCause.NotAllowed ? Math.round(routing.computeAgeMs()) : undefined;
    this.#write(event, { totalMs, ...fields, attemptCause, configurationAgeMs });
    if (event === BROKEN_OFF_EVENT)
      metrics.count('answers_broken_off_total', { cause: String(cause) });
    metrics.count('calls_ended_total', { event, kind: String(fields.kind ?? 'none') });
    metrics.record('call_duration_ms', totalMs, { event });
  }

  #computeElapsedMs(): number {
    return Math.round(this.#options.services.clock.nowMs() - this.#options.arrivedAtMs);
  }

  #write(event: string, fields: LogFields, level = LogLevel.Info): void {
    const { services, request, contentId, account, route } = this.#options;
    services.log.write(level, event, {
      requestId: request.requestId,
      contentId,
      account: account?.id,
      route: route.name,
      ...fields,
    });
  }
}

/**
 * Builds the fields of the log line that ends an answered call.
 *
 * @param serverId - incarnation ID of the backend server that answered
 * @param result - result of the attempt
 * @returns the log fields
 */
export function buildAnswerFields(serverId: string, result: DirectAttemptResult): LogFields {
  return {
    backendServer: serverId,
    status: result.status,
    firstByteMs: Math.round(result.firstByteMs),
    predictedFirstByteMs: Math.round(result.predictedFirstByteMs),
    outputTokens: result.outputTokens,
    end: result.answerEnd,
    longestPauseMs: result.stream && Math.round(result.stream.longestPauseMs),
  };
}

/**
 * Builds the fields of the log line that ends a call without a complete answer.
 *
 * @param error - error that the caller gets, or would have got before the answer began
 * @param cause - what ended the call
 * @returns the log fields
 */
export function buildErrorFields(
  { kind, run, retryAfterMs }: SchedulerError,
  cause: EndCause,
): LogFields {
  return { kind, run, retryAfterMs, cause };
}
