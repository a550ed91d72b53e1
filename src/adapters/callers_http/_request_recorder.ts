/**
 * Reports the requests of the callers' listener to logs, metrics and traces.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import { ERROR_TABLE, LogLevel } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { Hop } from '../../ports/mod.js';
import type { Clock, EventLog, Metrics, Span, Tracer } from '../../ports/mod.js';

/** Route name of requests that are refused before a route is found. */
const NO_ROUTE = 'none';

/** Ports that requests are reported to. */
export interface RecorderPorts {
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly clock: Clock;
}

/** Records the route, account and result of one request. */
export class RequestRecorder {
  /** Trace span of the request on this entry host. */
  readonly span: Span;

  readonly #ports: RecorderPorts;

  readonly #startedAtMs: number;

  #route = NO_ROUTE;

  #accountId: string | undefined;

  /**
   * @param ports - ports to report to
   * @param traceparent - trace context of the caller, if it sent one
   */
  constructor(ports: RecorderPorts, traceparent?: string) {
    this.#ports = ports;
    this.#startedAtMs = ports.clock.nowMs();
    this.span = ports.tracer.startSpan(Hop.EntryHost, traceparent);
  }

  /** @param route - name of the route that the request matched */
  recordRoute(route: string): void {
    this.#route = route;
    this.span.setAttributes({ route });
  }

  /** @param account - client account that sent the request */
  recordAccount(account: AccountContract): void {
    this.#accountId = account.accountId;
    this.span.setAttributes({ account: account.accountId });
  }

  /**
   * Records that the request was answered, and ends its span.
   *
   * @param status - HTTP status code
   * @param requestId - its ID, if it has one
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
   * Records that the request was refused or failed, and ends its span.
   *
   * @param error - the refusal or failure
   * @param requestId - its ID, if it has one
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
 * Records a refusal in the log and the metrics.
 *
 * @param ports - ports to report to
 * @param error - the refusal or failure
 * @param fields - properties of the request that are known so far
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
