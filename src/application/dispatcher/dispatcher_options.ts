/**
 * Options of the dispatcher service and the slot client.
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

/** Options of a dispatcher service. */
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
   * Called with each load report, so that peers can be informed of a backend server
   * that reports itself as draining. Default: nothing is called.
   */
  readonly onBackendServerLoad?: (backendServerId: string, saysLeaving: boolean) => void;
}

/** Options of a slot client. */
export interface SlotClientOptions extends DispatcherOptions {
  /** The dispatcher service in the same process. */
  readonly dispatcher: DispatcherService;
}
