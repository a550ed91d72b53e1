/**
 * What reports between entry hosts are made of.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { ReportScope } from '../../domain/overlay/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';

/** Figures of this entry host, or of several together. */
export type ReportFigures = Pick<
  HostReportMessage,
  'inFlight' | 'waitingCalls' | 'firstWaiting' | 'avoidedBy' | 'spentUnits' | 'endedServers'
>;

/** Whose figures a report contains beside this entry host's own. */
export interface FigureSources {
  readonly scope: ReportScope;
  /** Incarnations whose newest reports are added. */
  readonly incarnations: readonly string[];
  /** Incarnation that the figures are for. */
  readonly receiver: string;
}

/** A report that counts. */
export interface CountedReport {
  readonly identity: EntryHostIdentity;
  readonly report: HostReportMessage;
  /** Whether its process alone spent all that it reports, and wasn't known before. */
  readonly isNewProcess: boolean;
}
