/**
 * The HTTP listener that operators use to read the state of an entry host.
 *
 * @module
 */
import { ERROR_TABLE, ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { EventLog } from '../../ports/mod.js';
import {
  compareSecrets,
  findRoute,
  HttpListener,
  parseBearerKey,
  parseRequestTarget,
  toSchedulerError,
} from '../http_common/mod.js';
import type { CloseReport, HttpExchange, HttpLimits, InputGate } from '../http_common/mod.js';
import { ADMIN_ROUTES } from './_admin_routes.js';
import type { AdminSources } from './admin_sources.js';

/** Options of {@link AdminListener}. */
export interface AdminListenerOptions {
  /** Bearer key that operators send; must not be empty. */
  readonly adminKey: string;
  readonly log: EventLog;
  readonly limits: HttpLimits;
  /** Spreads the input of operators over turns. Default: a gate of its own. */
  readonly gate?: InputGate | undefined;
  /** Called when a connection is closed for a limit. */
  readonly onClosed?: CloseReport | undefined;
  readonly sources: AdminSources;
}

/** Serves the administration API to operators. */
export class AdminListener {
  readonly #options: AdminListenerOptions;

  readonly #listener: HttpListener;

  /** @param options - the key, the log, the HTTP limits and the sources of the reports */
  constructor(options: AdminListenerOptions) {
    if (options.adminKey === '') {
      throw new TypeError('Cannot create the administration listener: its key is empty');
    }
    this.#options = options;
    this.#listener = new HttpListener({
      limits: options.limits,
      gate: options.gate,
      onClosed: options.onClosed,
      log: options.log,
      answersAtOnce: true,
      handle: (http) => this.#handle(http),
      onRefusal: (refusal) => this.#logRefusal(refusal, 'none'),
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

  /** @returns a promise that resolves once in-flight answers and connections have ended */
  stop(): Promise<void> {
    return this.#listener.stop();
  }

  async #handle(http: HttpExchange): Promise<void> {
    let routeName = 'none';
    try {
      const target = parseRequestTarget(http.request.url ?? '/');
      const { route } = findRoute(ADMIN_ROUTES, http.request.method ?? 'GET', target, (allowed) => {
        http.response.setHeader('allow', allowed.join(', '));
      });
      routeName = route.name;
      if (route.handler.needsKey) this.#authenticate(http);
      await route.handler.handle(http, this.#options.sources);
    } catch (thrown) {
      const error = toSchedulerError(thrown);
      this.#logRefusal(error, routeName);
      http.sendError(error);
    }
  }

  #authenticate(http: HttpExchange): void {
    const received = parseBearerKey(http.getHeader('authorization'));
    if (received !== undefined && compareSecrets(received, this.#options.adminKey)) return;
    throw new SchedulerError(ErrorKind.Unauthenticated, {
      message: 'Cannot accept the request: the administration key is missing or wrong',
    });
  }

  #logRefusal(error: SchedulerError, route: string): void {
    this.#options.log.write(ERROR_TABLE[error.kind].logLevel, 'admin_request_refused', {
      route,
      kind: error.kind,
      reason: error.message,
      cause: error.cause instanceof Error ? error.cause.message : undefined,
    });
  }
}
