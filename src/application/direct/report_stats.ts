/**
 * Builds the stats that entry hosts report to each other.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { ReportScope } from '../../domain/overlay/mod.js';
import type { HostReportMessage } from '../../ports/mod.js';
import type { AccountSpending } from './account_spending.js';
import type { DirectGateway } from './direct_gateway.js';
import type { RoutingView } from './routing_view.js';
import type { ServerRegistry } from './server_registry.js';

/** Stats of one entry host, or sums over several. */
export type ReportStats = Pick<
  HostReportMessage,
  | 'inFlight'
  | 'waitingCalls'
  | 'firstWaiting'
  | 'callingHosts'
  | 'avoidedBy'
  | 'spentUnits'
  | 'endedServers'
  | 'leavingServers'
  | 'rateLimits'
  | 'refusalLimits'
  | 'configurationVersion'
  | 'accountUsage'
>;

/** Stats without any counts. */
export const NO_STATS: ReportStats = {
  inFlight: {},
  waitingCalls: {},
  firstWaiting: {},
  callingHosts: {},
  avoidedBy: {},
  spentUnits: {},
  endedServers: [],
  leavingServers: [],
  rateLimits: {},
  refusalLimits: {},
  configurationVersion: 0,
  accountUsage: {},
};

/** Which entry hosts' stats a report contains in addition to those of this entry host. */
export interface StatsSources {
  readonly scope: ReportScope;
  /** Process incarnations whose newest reports are added. */
  readonly incarnations: readonly string[];
  /** Incarnation of the process that receives the report. */
  readonly receiver: string;
}

/** A report that counts in the receiver's totals. */
export interface CountedReport {
  readonly identity: EntryHostIdentity;
  readonly report: HostReportMessage;
  /** Whether the report covers only its own process, and that process was unknown until now. */
  readonly isNewProcess: boolean;
}

/** Components of an entry host that supply its stats. */
export interface StatsProviders {
  readonly servers: ServerRegistry;
  readonly routing: RoutingView;
  readonly gateway: DirectGateway;
  readonly spending: AccountSpending;
}

/**
 * Adds up the stats of this entry host and of others.
 *
 * @param parts - components that supply this entry host's stats
 * @param sources - which other stats are added
 * @returns the sums
 */
export function buildReportStats(
  { servers, routing, gateway, spending }: StatsProviders,
  { scope, incarnations, receiver }: StatsSources,
): ReportStats {
  return {
    inFlight: servers.loads.countInFlight(incarnations),
    waitingCalls: servers.peers.sum('waitingCalls', gateway.countWaiting(), incarnations),
    firstWaiting: servers.peers.mergeFirstWaiting(incarnations, gateway.listFirstWaiting()),
    callingHosts: servers.peers.sum('callingHosts', gateway.countCalling(), incarnations),
    avoidedBy: servers.loads.countAvoiding(incarnations),
    spentUnits: spending.listSpentUnits(scope, receiver),
    endedServers: servers.listEndedIds(),
    leavingServers: servers.listLeavingIds(),
    rateLimits: servers.notices.rateLimits.listReported(),
    refusalLimits: servers.notices.refusalLimits.listReported(),
    configurationVersion: routing.newestKnownVersion,
    accountUsage: gateway.accountUsage?.listReported(incarnations) ?? {},
  };
}
