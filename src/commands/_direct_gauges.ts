/**
 * Updates the gauges of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import type { HdrMetrics } from '../adapters/metrics/mod.js';
import type { CrashQuarantine } from '../application/crashes/mod.js';
import type {
  DirectGateway,
  FeedFollower,
  HostReports,
  StoreView,
  StreamServices,
} from '../application/direct/mod.js';
import { countVersions } from '../domain/backend_servers/mod.js';
import type { HostPaths } from '../application/paths/mod.js';
import type { ServerPaths } from '../domain/paths/mod.js';
import type { DirectMemory } from './_direct_memory.js';

/** Components whose current state the gauges report. */
export interface GaugeSources {
  readonly storeView: StoreView;
  readonly follower: FeedFollower;
  readonly gateway: DirectGateway;
  readonly reports: HostReports;
  readonly crashes: CrashQuarantine;
  readonly streams: StreamServices;
  readonly paths: ServerPaths;
  readonly hostPaths: HostPaths;
  readonly memory: DirectMemory;
  readonly isServing: boolean;
}

/**
 * Sets every gauge to its current value.
 *
 * @param metrics - registry that holds the gauges
 * @param sources - components that the values are read from
 */
export function updateGauges(metrics: HdrMetrics, sources: GaugeSources): void {
  const { storeView, gateway, reports, crashes, streams, paths, hostPaths, isServing } = sources;
  metrics.set('configuration_age_ms', Math.round(storeView.routing.computeAgeMs()));
  metrics.set('configuration_unconfirmed', storeView.routing.isUnconfirmed ? 1 : 0);
  metrics.set('calls_under_way', gateway.callCount);
  metrics.set('calls_waiting', gateway.waitingCount);
  metrics.set('timer_lateness_ms', Math.round(gateway.latenessMs));
  metrics.set('entry_hosts_known', reports.knownCount);
  metrics.set('entry_hosts_heard', reports.listHeard().length + 1);
  metrics.set('entry_host_views_differing', reports.differingViewCount);
  metrics.set('serving', isServing ? 1 : 0);
  metrics.set('passes_reports_on', reports.isRelay ? 1 : 0);
  metrics.set('zones_closed', storeView.places.closedCount);
  metrics.set('backend_servers_cold', storeView.servers.coldCount);
  metrics.set(
    'backend_servers_limited',
    storeView.servers.notices.rateLimits.listLimitedIds().length,
  );
  metrics.set('backend_servers_leaving', storeView.servers.listLeavingIds().length);
  metrics.set('backend_server_versions', countVersions(storeView.servers.listEntries()));
  metrics.set('backend_servers_paused', storeView.servers.notices.pauses.count);
  metrics.set('services_refusals_limited', storeView.servers.notices.refusalLimits.count);
  metrics.set('stream_origins_kept', streams.origins.size);
  metrics.set('requests_held', crashes.quarantinedCount);
  metrics.set('backend_servers_cut', paths.cutCount);
  metrics.set('backend_servers_all_cut', paths.isCutOff ? 1 : 0);
  metrics.set('backend_servers_none_reachable', paths.isNoneReachable ? 1 : 0);
  metrics.set('entry_hosts_cut_off', countCutOff(reports));
  metrics.set('requests_through_peers', hostPaths.proxies.exchangeCount);
  metrics.set('requests_for_peers', hostPaths.server.exchangeCount);
  gateway.accountUsage?.updateGauges();
  updateMemoryGauges(metrics, sources.memory);
}

function updateMemoryGauges(metrics: HdrMetrics, { budgets, collector }: DirectMemory): void {
  Object.entries(budgets).forEach(([kind, { usedBytes, maxBytes }]) => {
    metrics.set('kept_bytes', usedBytes, { kind });
    metrics.set('kept_bytes_limit', maxBytes, { kind });
  });
  metrics.set('buffer_bytes_limit', collector.maxBytes);
  metrics.set('buffer_collections', collector.collections);
}

function countCutOff(reports: HostReports): number {
  return [reports.self, ...reports.listHeard()].filter(({ isCutOff }) => isCutOff === true).length;
}
