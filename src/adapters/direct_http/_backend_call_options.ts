/**
 * What one request to a backend server depends on.
 *
 * @module
 */
import type { BackendListener, BackendRequest } from '../../ports/mod.js';
import type { BackendAgent } from './_backend_agent.js';
import type { DirectDialect } from './direct_dialect.js';

/** Options of a request. */
export interface BackendCallOptions {
  readonly agent: BackendAgent;
  readonly dialect: DirectDialect;
  readonly request: BackendRequest;
  readonly listener: BackendListener;
  /**
   * Called with the length of each part of the answer's body. Returns whether the next part may be
   * read in the same turn of the event loop.
   */
  readonly onReceived: (bytes: number) => boolean;
  /** Called when the request has opened a connection. */
  readonly onConnected: () => void;
}
