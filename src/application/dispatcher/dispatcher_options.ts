/**
 * What the dispatcher's two sides are built from.
 *
 * @module
 */
import type { SchedulingStrategy } from '../../domain/scheduling/mod.js';
import type {
  BackendServerClient,
  Clock,
  EventLog,
  Metrics,
  PeerNetwork,
  RandomSource,
  Tracer,
} from '../../ports/mod.js';
import type { ConfigurationView, MembershipView } from '../views/mod.js';
import type { DispatcherService } from './dispatcher_service.js';

/** What a dispatcher service needs. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly peers: PeerNetwork;
  readonly backend: BackendServerClient;
  readonly strategy: SchedulingStrategy;
  /**
   * Called with each load report, so that a backend server that says it leaves is
   * made known to peers. Default: nobody is told.
   */
  readonly noteBackendServerLoad?: (backendServerId: string, saysLeaving: boolean) => void;
}

/** What a slot client needs. */
export interface SlotClientOptions extends DispatcherOptions {
  /** The service of the same process. */
  readonly dispatcher: DispatcherService;
}
