/**
 * Dependencies that all calls of an entry host share.
 *
 * @module
 */
import type { RetryDecision } from '../../domain/direct/mod.js';
import type { ByteBudget } from '../../domain/memory/mod.js';
import type {
  Clock,
  DirectBackendClient,
  EventLog,
  Metrics,
  RandomSource,
} from '../../ports/mod.js';
import type { CrashQuarantine } from '../crashes/mod.js';
import type { AccountUsageTable } from './_account_usage_table.js';
import type { RoutingView } from './routing_view.js';
import type { ServerRegistry } from './server_registry.js';

/** Retry budgets of the services. */
export interface RetryServices {
  /** @param serviceId - ID of the service that has, or may have, received a call for the first time */
  readonly recordFirstAttempt: (serviceId: string) => void;
  /** @param serviceId - ID of the service. @returns whether the retry budget grants a retry */
  readonly takeRetry: (serviceId: string) => RetryDecision;
  /** @param serviceId - ID of the service to which a granted retry is sent */
  readonly recordRetrySent: (serviceId: string) => void;
  /** @param serviceId - ID of the service to which a granted retry is not sent */
  readonly releaseRetry: (serviceId: string) => void;
}

/** What connects the calls of an entry host to its environment. */
export interface CallAdapters {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly backend: DirectBackendClient;
  /** Bounds what all calls keep of answers that are not complete. Default: no bound. */
  readonly answers?: ByteBudget | undefined;
}

/** Dependencies that all calls of an entry host share. */
export interface DirectServices extends RetryServices, CallAdapters {
  readonly routing: RoutingView;
  readonly servers: ServerRegistry;
  readonly crashes: CrashQuarantine;
  readonly accountUsage: AccountUsageTable | undefined;
  /** @returns when a planned stop ends the calls in progress, in ms; Infinity: there is none */
  readonly getEndAtMs: () => number;
}
