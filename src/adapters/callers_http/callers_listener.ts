/**
 * The callers' listener.
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
  FoundRoute,
  HttpExchange,
  HttpLimits,
  RequestTarget,
  TlsIdentity,
} from '../http_common/mod.js';
import type { CallerRoute } from './_caller_exchange.js';
import { correctRun } from './_correct_run.js';
import { recordRefusal, RequestRecorder } from './_request_recorder.js';
import { CALLER_ROUTES } from './_routes.js';

/** W3C trace context, version 00 (later versions may add fields behind). */
const TRACEPARENT_FORM =
  /^(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}(-.*)?$/;

/** Options of {@link CallersListener}. */
export interface CallersListenerOptions {
  readonly gateway: RequestGateway;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly clock: Clock;
  readonly limits: HttpLimits;
  /** Serves by https when given. */
  readonly tls?: TlsIdentity | undefined;
}

/** Takes callers' requests, authenticates them and hands them to the gateway. */
export class CallersListener {
  readonly #options: CallersListenerOptions;

  readonly #listener: HttpListener;

  /** @param options - the gateway, the limits, and the ports to report to */
  constructor(options: CallersListenerOptions) {
    this.#options = options;
    this.#listener = new HttpListener({
      limits: options.limits,
      tls: options.tls,
      handle: (http) => this.#handle(http),
      correctRefusal: correctRun,
      onRefusal: (refusal) => recordRefusal(options, refusal),
    });
  }

  /**
   * Starts listening.
   *
   * @param host - IP number
   * @param port - port; 0 for any free one
   * @returns the port
   */
  start(host: string, port: number): Promise<{ port: number }> {
    return this.#listener.start(host, port);
  }

  /** Asks each caller, with its next answer, to close its connection; see {@link HttpListener.drain}. */
  drain(): void {
    this.#listener.drain();
  }

  /**
   * Stops listening and waits for the running answers; cuts none.
   *
   * @returns when the last connection is closed
   */
  stop(): Promise<void> {
    return this.#listener.stop();
  }

  async #handle(http: HttpExchange): Promise<void> {
    const recorder = new RequestRecorder(this.#options, findTraceparent(http));
    let isHandedOver = false;
    const noteHandOver = (): void => {
      isHandedOver = true;
    };
    try {
      await this.#run(http, recorder, noteHandOver);
      const sentId = http.response.getHeader('request-id');
      recorder.recordAnswer(http.response.statusCode, sentId?.toString());
    } catch (thrown) {
      const raised = toSchedulerError(thrown);
      const error = isHandedOver ? raised : correctRun(raised, http.request);
      const requestId = error.requestId ?? http.getHeader('request-id');
      recorder.recordRefusal(error, requestId);
      http.sendError(error, requestId);
    }
  }

  async #run(
    http: HttpExchange,
    recorder: RequestRecorder,
    noteHandOver: () => void,
  ): Promise<void> {
    const target = parseRequestTarget(http.request.url ?? '/');
    const { route, params } = findCallerRoute(http, target);
    recorder.noteRoute(route.name);
    if (!route.handler.needsKey) {
      await route.handler.handle(http);
      return;
    }
    // Before the body is read: who has no key can't make us hold bytes.
    const { gateway, clock, limits } = this.#options;
    const account = gateway.authenticate(parseBearerKey(http.getHeader('authorization')));
    recorder.noteAccount(account);
    const { answerStallTimeoutMs = DEFAULT_HTTP_LIMITS.answerStallTimeoutMs } = limits;
    const { span } = recorder;
    const known = { http, gateway, clock, account, target, params, span };
    await route.handler.handle({ ...known, noteHandOver, answerStallTimeoutMs });
  }
}

function findCallerRoute(http: HttpExchange, target: RequestTarget): FoundRoute<CallerRoute> {
  return findRoute(CALLER_ROUTES, http.request.method ?? 'GET', target, (allowed) => {
    http.response.setHeader('allow', allowed.join(', '));
  });
}

/** A `traceparent` that is not well-formed counts as none, as W3C trace context asks. */
function findTraceparent(http: HttpExchange): string | undefined {
  const traceparent = http.getHeader('traceparent');
  return traceparent !== undefined && TRACEPARENT_FORM.test(traceparent) ? traceparent : undefined;
}
