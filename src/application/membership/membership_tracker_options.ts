/**
 * Defines the options and callbacks of the membership of entry hosts.
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

/** Revision and hash of the configuration that is in effect. */
export interface ConfigurationVersion {
  readonly revision: number;
  readonly hash: string;
}

/** Dependencies and times of the membership of one entry host. */
export interface MembershipTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  /** Reads the host list. */
  readonly platform: PlatformReader;
  readonly peers: PeerNetwork;
  readonly self: EntryHostIdentity;
  /** Peers to keep links to, also before the host list was read. */
  readonly seedPeerUrls: readonly string[];
  /** How long one read of the host list waits for a change, in milliseconds. */
  readonly readWaitMs: number;
  /** Time between two heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Silence after which a peer is suspected, in milliseconds. */
  readonly suspectAfterMs: number;
  /** Returns the loads of the groups that this entry host dispatches for; sent in heartbeats. */
  readonly listGroupLoads: () => readonly GroupLoad[];
  /** Returns whether this entry host is ready to serve callers; sent in heartbeats. */
  readonly isReady: () => boolean;
  /** Returns the configuration's revision and hash; sent in heartbeats. */
  readonly getConfiguration: () => ConfigurationVersion;
}

/** Handles the configuration revision and hash of a peer's heartbeat. */
export type PeerConfigurationHandler = (
  incarnation: string,
  revision: number,
  hash: string,
) => void;

/** Handles the group loads of a peer's heartbeat. */
export type GroupLoadsHandler = (incarnation: string, groups: readonly GroupLoad[]) => void;
