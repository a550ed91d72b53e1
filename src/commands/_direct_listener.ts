/**
 * Creates the listener for callers of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import { DirectListener } from '../adapters/direct_http/mod.js';
import type { DirectDialect } from '../adapters/direct_http/mod.js';
import type { RoutingView } from '../application/direct/mod.js';
import type { CallerLimits } from '../domain/routing/mod.js';
import type { DirectReply, DirectRequest } from '../ports/mod.js';

/** Limits on callers until the first configuration is read. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** What the listener depends on. */
export interface DirectListenerParts {
  readonly dialect: DirectDialect;
  readonly routing: RoutingView;
  /** @returns whether connections must be closed after their current request */
  readonly mustClose: () => boolean;
  readonly handle: (request: DirectRequest, reply: DirectReply) => void;
}

/**
 * Creates the listener.
 *
 * @param parts - what the listener depends on
 * @returns a listener that is not started yet
 */
export function createDirectListener({ routing, ...rest }: DirectListenerParts): DirectListener {
  return new DirectListener({
    ...rest,
    getLimits: () => routing.table?.document.callerLimits ?? INITIAL_LIMITS,
  });
}
