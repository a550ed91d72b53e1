/**
 * What every call at this entry host uses.
 *
 * @module
 */
import type {
  Clock,
  DirectBackendClient,
  EventLog,
  Metrics,
  RandomSource,
} from '../../ports/mod.js';
import type { CrashKeeper } from '../crashes/mod.js';
import type { RoutingKeeper } from './routing_keeper.js';
import type { ServerKeeper } from './server_keeper.js';

/** What every call uses. */
export interface DirectServices {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly backend: DirectBackendClient;
  readonly routing: RoutingKeeper;
  readonly servers: ServerKeeper;
  readonly crashes: CrashKeeper;
  /** @param serviceId - a service that a request is sent to for the first time */
  readonly noteFirstAttempt: (serviceId: string) => void;
  /** @param serviceId - a service. @returns whether a retry may be sent to it */
  readonly takeRetry: (serviceId: string) => boolean;
}
