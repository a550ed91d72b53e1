/**
 * Sends requests to backend servers over this host's own links, or through peers where these
 * are cut.
 *
 * @module
 */
import type { ServerPaths } from '../../domain/paths/mod.js';
import { DirectBackendClient } from '../../ports/mod.js';
import type { BackendExchange, BackendListener, BackendRequest, Clock } from '../../ports/mod.js';
import type { PathChecks } from './path_checks.js';
import { PathExchange } from './_path_exchange.js';
import type { ProxyClient } from './proxy_client.js';
import type { UnmarkedEnds } from './_unmarked_ends.js';

/** Dependencies of {@link PathBackendClient}. */
export interface PathBackendClientOptions {
  readonly clock: Clock;
  /** Sends requests over this host's own links. */
  readonly direct: DirectBackendClient;
  readonly proxies: ProxyClient;
  readonly paths: ServerPaths;
  readonly checks: PathChecks;
  readonly unmarkedEnds: UnmarkedEnds;
}

/** Picks the way of each request. */
export class PathBackendClient extends DirectBackendClient {
  readonly #options: PathBackendClientOptions;

  readonly #exchanges = new Set<PathExchange>();

  /** @param options - dependencies */
  constructor(options: PathBackendClientOptions) {
    super();
    this.#options = options;
    options.checks.onCut((incarnationId) => {
      options.direct.closeIdle(incarnationId);
      [...this.#exchanges].forEach((exchange) => exchange.replaceCutPath());
    });
  }

  override send(request: BackendRequest, listener: BackendListener): BackendExchange {
    const exchange: PathExchange = new PathExchange({
      ...this.#options,
      request,
      listener,
      onEnd: () => this.#exchanges.delete(exchange),
    });
    exchange.start();
    this.#exchanges.add(exchange);
    return exchange;
  }

  override closeIdle(incarnationId: string): void {
    this.#options.direct.closeIdle(incarnationId);
  }
}
