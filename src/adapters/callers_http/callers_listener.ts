/**
 * The HTTP listener that callers send their requests to.
 *
 * @module
 */
import type { RequestGateway } from '../../application/views/mod.js';
import type { Clock, EventLog, Metrics, Tracer } from '../../ports/mod.js';
import {
  DEFAULT_HTTP_LIMITS,
  findRoute,
  HttpListener,
  parseBearerKey,
  parseRequestTarget,
  toSchedulerError,
} from '../http_common/mod.js';
import type {
  RouteMatch,
  HttpExchange,
  CloseReport,
  HttpLimits,
  InputGate,
  RequestTarget,
  TlsIdentity,
} from '../http_common/mod.js';
import type { CallerRoute } from './_caller_exchange.js';
import { correctRunOutcome } from './_correct_run_outcome.js';
import { recordRefusal, RequestRecorder } from './_request_recorder.js';
import { CALLER_ROUTES } from './_routes.js';

/** `traceparent` of W3C Trace Context version 00; later versions may append fields. */
const TRACEPARENT_PATTERN =
  /^(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}(-.*)?$/;

/** Options of {@link CallersListener}. */
export interface CallersListenerOptions {
  readonly gateway: RequestGateway;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly clock: Clock;
  readonly limits: HttpLimits;
  /** Spreads the input of callers over turns. Default: a gate of its own. */
  readonly gate?: InputGate | undefined;
  /** Called when a connection is closed for a limit. */
  readonly onClosed?: CloseReport | undefined;
  /** Certificate and key for HTTPS; without them the listener serves plain HTTP. */
  readonly tls?: TlsIdentity | undefined;
}

/** Authenticates callers' requests and hands them to the gateway. */
export class CallersListener {
  readonly #options: CallersListenerOptions;

  readonly #listener: HttpListener;

  /** @param options - the gateway, the HTTP limits and the ports to report to */
  constructor(options: CallersListenerOptions) {
    this.#options = options;
    this.#listener = new HttpListener({
      limits: options.limits,
      gate: options.gate,
      onClosed: options.onClosed,
      tls: options.tls,
      log: options.log,
      handle: (http) => this.#handle(http),
      correctRefusal: correctRunOutcome,
      onRefusal: (refusal) => recordRefusal(options, refusal),
    });
  }

  /**
   * Starts listening.
   *
   * @param host - IP address to listen on
   * @param port - port to listen on; 0 selects a free port
   * @returns the port in use
   */
  start(host: string, port: number): Promise<{ port: number }> {
    return this.#listener.start(host, port);
  }

  /** Closes each connection after its next answer; see {@link HttpListener.drain}. */
  drain(): void {
    this.#listener.drain();
  }

  /**
   * Stops listening and waits until in-flight answers are complete.
   *
   * @returns a promise that resolves once the last connection is closed
   */
  stop(): Promise<void> {
    return this.#listener.stop();
  }

  async #handle(http: HttpExchange): Promise<void> {
    const recorder = new RequestRecorder(this.#options, findTraceparent(http));
    let isHandedOver = false;
    const recordHandOver = (): void => {
      isHandedOver = true;
    };
    try {
      await this.#route(http, recorder, recordHandOver);
      const sentRequestId = http.response.getHeader('request-id');
      recorder.recordAnswer(http.response.statusCode, sentRequestId?.toString());
    } catch (thrown) {
      const thrownError = toSchedulerError(thrown);
      const error = isHandedOver ? thrownError : correctRunOutcome(thrownError, http.request);
      const requestId = error.requestId ?? http.getHeader('request-id');
      recorder.recordRefusal(error, requestId);
      http.sendError(error, requestId);
    }
  }

  async #route(
    http: HttpExchange,
    recorder: RequestRecorder,
    recordHandOver: () => void,
  ): Promise<void> {
    const target = parseRequestTarget(http.request.url ?? '/');
    const { route, params } = findCallerRoute(http, target);
    recorder.recordRoute(route.name);
    if (!route.handler.needsKey) {
      await route.handler.handle(http);
      return;
    }
    // Precedes reading the body, so that callers without a key can't make the process buffer it.
    const { gateway, clock, limits } = this.#options;
    const account = gateway.authenticate(parseBearerKey(http.getHeader('authorization')));
    recorder.recordAccount(account);
    const { answerStallTimeoutMs = DEFAULT_HTTP_LIMITS.answerStallTimeoutMs } = limits;
    const { span } = recorder;
    const context = { http, gateway, clock, account, target, params, span };
    await route.handler.handle({ ...context, recordHandOver, answerStallTimeoutMs });
  }
}

function findCallerRoute(http: HttpExchange, target: RequestTarget): RouteMatch<CallerRoute> {
  return findRoute(CALLER_ROUTES, http.request.method ?? 'GET', target, (allowed) => {
    http.response.setHeader('allow', allowed.join(', '));
  });
}

/** Ignores a malformed `traceparent`, as W3C Trace Context requires. */
function findTraceparent(http: HttpExchange): string | undefined {
  const traceparent = http.getHeader('traceparent');
  return traceparent !== undefined && TRACEPARENT_PATTERN.test(traceparent)
    ? traceparent
    : undefined;
}
