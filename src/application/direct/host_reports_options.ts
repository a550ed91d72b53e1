/**
 * Dependencies and callbacks of the reports between entry hosts.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { HostState, OwnState } from '../../domain/overlay/mod.js';
import type { Clock, EventLog, PeerNetwork } from '../../ports/mod.js';
import type { CountedReport, ReportStats, StatsSources } from './report_stats.js';

/** Dependencies and callbacks of the reports. */
export interface HostReportsOptions {
  readonly self: EntryHostIdentity;
  /** Number of processor cores that this process may use. */
  readonly cores: number;
  readonly peers: PeerNetwork;
  /** URLs of the seed peers, where discovery starts. */
  readonly seedPeerUrls: readonly string[];
  readonly clock: Clock;
  readonly log: EventLog;
  readonly getState: () => OwnState;
  readonly buildStats: (sources: StatsSources) => ReportStats;
  /** Called with each report that counts. */
  readonly onReport: (report: CountedReport) => void;
  /** Called when the reports of a process no longer count. */
  readonly onSilent: (identity: EntryHostIdentity) => void;
  /** @returns peers to keep links to since backend servers are out of reach; may be none */
  readonly listWantedPeers?: () => readonly HostState[];
  /** @param incarnation - a linked peer. @returns whether requests go through it or come from it */
  readonly carriesRequests?: (incarnation: string) => boolean;
  /** Called after each round with the fraction of the known entry hosts that is reachable. */
  readonly onReachableFraction: (reach: number) => void;
}
