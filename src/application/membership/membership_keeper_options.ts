/**
 * What the keeper of the membership needs, and what it calls.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type {
  Clock,
  EventLog,
  GroupLoad,
  Metrics,
  PeerNetwork,
  PlatformReader,
  RandomSource,
} from '../../ports/mod.js';

/** Revision and hash of the configuration in force. */
export interface ConfigurationVersion {
  readonly revision: number;
  readonly hash: string;
}

/** What the keeper needs. */
export interface MembershipKeeperOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** Reads the host list. */
  readonly platform: PlatformReader;
  readonly peers: PeerNetwork;
  readonly self: EntryHostIdentity;
  /** Peers to link to before the host list was read. */
  readonly seedPeerUrls: readonly string[];
  /** How long the host list may hold a watch, in milliseconds. */
  readonly readWaitMs: number;
  /** Time between two heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Silence after which a peer is suspected, in milliseconds. */
  readonly suspectAfterMs: number;
  /** What heartbeats tell of the groups that this entry host dispatches for. */
  readonly listGroupLoads: () => readonly GroupLoad[];
  /** Whether callers can be sent here; told by heartbeats. */
  readonly isReady: () => boolean;
  /** What heartbeats tell of the configuration. */
  readonly getConfiguration: () => ConfigurationVersion;
}

/** Called with a peer's configuration revision and hash. */
export type PeerConfigurationHandler = (
  incarnation: string,
  revision: number,
  hash: string,
) => void;

/** Called with the loads of a peer's groups. */
export type GroupLoadsHandler = (incarnation: string, groups: readonly GroupLoad[]) => void;
