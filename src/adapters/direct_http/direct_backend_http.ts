/**
 * Sends calls to backend servers over Node's `http`.
 *
 * @module
 */
import { DirectBackendClient } from '../../ports/mod.js';
import type { BackendExchange, BackendListener, BackendRequest } from '../../ports/mod.js';
import { BackendAgent } from './_backend_agent.js';
import { BackendCall } from './_backend_call.js';
import type { DirectDialect } from './direct_dialect.js';

/**
 * Most connections of one entry host to one backend server. Servers accept some
 * hundred from all entry hosts together and run about ten requests at once.
 */
const MAX_CONNECTIONS = 24;

/** Keeps connections to backend servers and sends requests on them. */
export class HttpDirectBackend extends DirectBackendClient {
  readonly #dialect: DirectDialect;

  readonly #agent = new BackendAgent(MAX_CONNECTIONS);

  /** @param dialect - names of headers */
  constructor(dialect: DirectDialect) {
    super();
    this.#dialect = dialect;
  }

  override send(request: BackendRequest, listener: BackendListener): BackendExchange {
    return new BackendCall({ agent: this.#agent, dialect: this.#dialect, request, listener });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}
