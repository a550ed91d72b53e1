/**
 * What reports between entry hosts are made of.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { ReportScope } from '../../domain/overlay/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';
import type { AccountSpending } from './account_spending.js';
import type { DirectGateway } from './direct_gateway.js';
import type { ServerKeeper } from './server_keeper.js';

/** Figures of this entry host, or of several together. */
export type ReportFigures = Pick<
  HostReportMessage,
  'inFlight' | 'waitingCalls' | 'firstWaiting' | 'avoidedBy' | 'spentUnits' | 'endedServers'
>;

/** Figures of nobody. */
export const NO_FIGURES: ReportFigures = {
  inFlight: {},
  waitingCalls: {},
  firstWaiting: {},
  avoidedBy: {},
  spentUnits: {},
  endedServers: [],
};

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

/** Parts of an entry host that know its figures. */
export interface FigureParts {
  readonly servers: ServerKeeper;
  readonly gateway: DirectGateway;
  readonly spending: AccountSpending;
}

/**
 * Adds this entry host's figures and those of others up.
 *
 * @param parts - what knows them
 * @param sources - whose figures are added
 * @returns the sums
 */
export function buildReportFigures(
  { servers, gateway, spending }: FigureParts,
  { scope, incarnations, receiver }: FigureSources,
): ReportFigures {
  return {
    inFlight: servers.countInFlight(incarnations),
    waitingCalls: servers.peers.sum('waitingCalls', gateway.countWaiting(), incarnations),
    firstWaiting: servers.peers.mergeFirstWaiting(incarnations, gateway.listFirstWaiting()),
    avoidedBy: servers.countAvoiding(incarnations),
    spentUnits: spending.listTotals(scope, receiver),
    endedServers: servers.listEnded(),
  };
}
