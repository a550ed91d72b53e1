/**
 * Builds the report for one peer.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { ReportScope } from '../../domain/overlay/mod.js';
import type { Roster, RosterEntry } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';
import { NO_STATS } from './report_stats.js';
import type { StatsSources, ReportStats } from './report_stats.js';
import type { ReportRole } from './_report_role.js';
import type { Settling } from './_settling.js';
import type { ReceivedReports } from './_received_reports.js';
import type { ViewComparison } from './_view_comparison.js';

/** Sources of a report's content. */
export interface ReportBuilderOptions {
  readonly roster: Roster;
  readonly role: ReportRole;
  readonly received: ReceivedReports;
  readonly views: ViewComparison;
  readonly settling: Settling;
  readonly buildStats: (sources: StatsSources) => ReportStats;
}

/** Combines stats and roster entries into a report. */
export class ReportBuilder {
  readonly #options: ReportBuilderOptions;

  /** @param options - sources of the content */
  constructor(options: ReportBuilderOptions) {
    this.#options = options;
  }

  /**
   * @param peer - receiver of the report
   * @param scope - which entry hosts' stats the report contains
   * @param sequence - the report's sequence number
   * @returns the report
   */
  build(peer: EntryHostIdentity, scope: ReportScope, sequence: number): HostReportMessage {
    const { roster, role, received, buildStats } = this.#options;
    const { incarnation } = peer;
    const lastReport = received.find(incarnation)?.report;
    const addedReports = role.listAddedReports(scope, incarnation);
    const incarnations = addedReports.map(({ identity }) => identity.incarnation);
    const hostCount = addedReports.reduce((sum, { report }) => sum + report.hostCount, 1);
    // When peers that are not in its roster take a member for a relay, the member only helps
    // them to find a relay and reports no stats of its own.
    const hasStats = scope === ReportScope.Member || role.isRelay;
    const stats = hasStats ? buildStats({ incarnations, scope, receiver: incarnation }) : NO_STATS;
    // A report of another scope may have left entries out, so its acknowledgement doesn't count.
    const ackedRevision = lastReport?.heardScope === scope ? lastReport.heardRosterRevision : 0;
    return {
      type: PeerMessageType.HostReport,
      sequence,
      heardSequence: lastReport?.sequence ?? 0,
      scope,
      hostCount: hasStats ? hostCount : 0,
      ...stats,
      view: scope === ReportScope.Group ? this.#options.views.digest : undefined,
      knownHosts: this.#options.settling.reported,
      roster: this.#listRosterEntries(peer, scope, ackedRevision),
      rosterRevision: roster.revision,
      heardRosterRevision: lastReport?.rosterRevision ?? 0,
      heardScope: lastReport?.scope,
    };
  }

  #listRosterEntries(
    peer: EntryHostIdentity,
    scope: ReportScope,
    afterRevision: number,
  ): RosterEntry[] {
    const { roster, role, views } = this.#options;
    const changes = roster.listChanges(afterRevision, scope === ReportScope.Fleet);
    if (scope !== ReportScope.Group) return changes;
    const includedIds = new Set(changes.map(({ state }) => state.identity.id));
    const missingRelays = role
      .listRelaysFor(peer, views.takeList(peer.incarnation))
      .filter(({ identity }) => !includedIds.has(identity.id));
    return [...changes, ...missingRelays.map((state) => ({ state, isHeard: false }))];
  }
}
