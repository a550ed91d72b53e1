/**
 * What the callers' listener tells logs, metrics and traces of one request.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import { ERROR_TABLE, LogLevel } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { Hop } from '../../ports/mod.js';
import type { Clock, EventLog, Metrics, Span, Tracer } from '../../ports/mod.js';

/** Route name of requests that were refused before any route was found. */
const NO_ROUTE = 'none';

/** Where a request is reported to. */
export interface RecorderPorts {
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly clock: Clock;
}

/** Records one request. */
export class RequestRecorder {
  /** The span of this hop. */
  readonly span: Span;

  readonly #ports: RecorderPorts;

  readonly #startedAtMs: number;

  #route = NO_ROUTE;

  #accountId: string | undefined;

  /**
   * @param ports - where to report to
   * @param traceparent - the hop before, if the caller named one
   */
  constructor(ports: RecorderPorts, traceparent?: string) {
    this.#ports = ports;
    this.#startedAtMs = ports.clock.nowMs();
    this.span = ports.tracer.startSpan(Hop.EntryHost, traceparent);
  }

  /** @param route - the route that the request took */
  noteRoute(route: string): void {
    this.#route = route;
    this.span.setAttributes({ route });
  }

  /** @param account - whose request it is */
  noteAccount(account: AccountContract): void {
    this.#accountId = account.accountId;
    this.span.setAttributes({ account: account.accountId });
  }

  /**
   * Records a request that was answered.
   *
   * @param status - HTTP status code
   * @param requestId - its ID, where it has one
   */
  recordAnswer(status: number, requestId: string | undefined): void {
    const { log, metrics, clock } = this.#ports;
    const route = this.#route;
    const durationMs = clock.nowMs() - this.#startedAtMs;
    metrics.count('caller_answers_total', { route, status: String(status) });
    metrics.record('caller_answer_ms', durationMs, { route });
    log.write(LogLevel.Debug, 'request_answered', {
      requestId,
      account: this.#accountId,
      route,
      status,
      durationMs,
    });
    this.span.end();
  }

  /**
   * Records a request that was refused or failed.
   *
   * @param error - why
   * @param requestId - its ID, where it has one
   */
  recordRefusal(error: SchedulerError, requestId: string | undefined): void {
    recordRefusal(this.#ports, error, {
      requestId,
      account: this.#accountId,
      route: this.#route,
    });
    this.span.end(error.kind);
  }
}

/**
 * Records a refusal.
 *
 * @param ports - where to report to
 * @param error - why
 * @param fields - what is known of the request
 */
export function recordRefusal(
  ports: RecorderPorts,
  error: SchedulerError,
  fields: { route?: string; requestId?: string | undefined; account?: string | undefined } = {},
): void {
  const route = fields.route ?? NO_ROUTE;
  ports.metrics.count('caller_refusals_total', { kind: error.kind, route });
  ports.log.write(ERROR_TABLE[error.kind].logLevel, 'request_refused', {
    requestId: fields.requestId,
    account: fields.account,
    route,
    kind: error.kind,
    run: error.run,
    reason: error.message,
    cause: error.cause instanceof Error ? error.cause.message : undefined,
  });
}
