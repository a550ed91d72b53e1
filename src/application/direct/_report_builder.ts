/**
 * Builds the report that one peer is to get.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { ReportScope } from '../../domain/overlay/mod.js';
import type { Roster, RosterEntry } from '../../domain/overlay/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';
import { NO_FIGURES } from './report_figures.js';
import type { FigureSources, ReportFigures } from './report_figures.js';
import type { ReportRole } from './_report_role.js';
import type { ReportSources } from './_report_sources.js';

/** What reports are built from. */
export interface ReportBuilderOptions {
  readonly roster: Roster;
  readonly role: ReportRole;
  readonly sources: ReportSources;
  readonly buildFigures: (sources: FigureSources) => ReportFigures;
}

/** Joins figures and roster to a report. */
export class ReportBuilder {
  readonly #options: ReportBuilderOptions;

  /** @param options - what reports are built from */
  constructor(options: ReportBuilderOptions) {
    this.#options = options;
  }

  /**
   * @param peer - who is told
   * @param scope - whose figures
   * @param sequence - the report's number
   * @returns the report
   */
  build(peer: EntryHostIdentity, scope: ReportScope, sequence: number): HostReportMessage {
    const { roster, role, sources, buildFigures } = this.#options;
    const { incarnation } = peer;
    const last = sources.find(incarnation)?.report;
    const added = role.listFigureSources(scope, incarnation);
    const incarnations = added.map(({ identity }) => identity.incarnation);
    const hostCount = added.reduce((sum, { report }) => sum + report.hostCount, 1);
    // A member that strangers take for a relay only helps them to find one.
    const hasFigures = scope === ReportScope.Member || role.isRelay;
    const figures = hasFigures
      ? buildFigures({ incarnations, scope, receiver: incarnation })
      : NO_FIGURES;
    // What another scope left out was never told.
    const seenRevision = last?.heardScope === scope ? last.heardRosterRevision : 0;
    return {
      type: PeerMessageType.HostReport,
      sequence,
      heardSequence: last?.sequence ?? 0,
      scope,
      hostCount: hasFigures ? hostCount : 0,
      ...figures,
      roster: this.#listRoster(peer, scope, seenRevision),
      rosterRevision: roster.revision,
      heardRosterRevision: last?.rosterRevision ?? 0,
      heardScope: last?.scope,
    };
  }

  #listRoster(peer: EntryHostIdentity, scope: ReportScope, after: number): RosterEntry[] {
    const { roster, role } = this.#options;
    const changes = roster.listChanges(after, scope === ReportScope.Fleet);
    if (scope !== ReportScope.Group) return changes;
    const told = new Set(changes.map(({ state }) => state.identity.id));
    const relays = role.listRelaysFor(peer).filter(({ identity }) => !told.has(identity.id));
    return [...changes, ...relays.map((state) => ({ state, isHeard: false }))];
  }
}
