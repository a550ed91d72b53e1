/**
 * Creates the exchange of reports of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import { buildReportStats, HostReports } from '../application/direct/mod.js';
import type {
  AccountSpending,
  CountedReport,
  DirectGateway,
  HostReportsOptions,
  StoreView,
} from '../application/direct/mod.js';
import type { HostPaths } from '../application/paths/mod.js';
import type { OwnState } from '../domain/overlay/mod.js';
import type { ServerPaths } from '../domain/paths/mod.js';
import { formatPeerUrl } from './_direct_peers.js';
import type { DirectSettings } from './direct_settings.js';

/** Parts that are created after the reports. */
export interface LateParts {
  readonly gateway: DirectGateway;
  readonly hostPaths: HostPaths;
}

/** What the reports depend on. */
export interface DirectReportsParts extends Pick<
  HostReportsOptions,
  'clock' | 'log' | 'peers' | 'self'
> {
  readonly settings: DirectSettings;
  readonly storeView: StoreView;
  readonly spending: AccountSpending;
  readonly paths: ServerPaths;
  /** @returns the parts; called only after the reports are started */
  readonly getParts: () => LateParts;
  readonly getState: () => Omit<OwnState, 'isCutOff'>;
}

/**
 * Creates the exchange of reports.
 *
 * @param parts - what the reports depend on
 * @returns an exchange that is not started yet
 */
export function createDirectReports(parts: DirectReportsParts): HostReports {
  const { settings, storeView, spending, paths, getParts, getState } = parts;
  return new HostReports({
    ...parts,
    seedPeerUrls: settings.seedPeerAddresses.map(formatPeerUrl),
    cores: settings.coreShare * settings.coreSpeed,
    getState: () => ({ ...getState(), isCutOff: paths.isLossConfirmed }),
    buildStats: (sources) =>
      buildReportStats({ ...storeView, gateway: getParts().gateway, spending }, sources),
    listWantedPeers: () => getParts().hostPaths.listWantedPeers(parts.self.id),
    carriesRequests: (incarnation) => getParts().hostPaths.carriesRequests(incarnation),
    onReport: (counted) => handleReport(counted, parts),
    onSilent: ({ incarnation }) => storeView.servers.applyPeerStats(incarnation, undefined),
    onReachableFraction: (reachableFraction) => spending.setReach(reachableFraction),
  });
}

function handleReport(
  counted: CountedReport,
  { storeView, spending, getParts }: DirectReportsParts,
): void {
  const { identity, report } = counted;
  spending.applyReport(counted);
  storeView.routing.noteKnownVersion(report.configurationVersion);
  storeView.servers.applyPeerStats(identity.incarnation, report);
  getParts().gateway.dispatchWaiting();
}
