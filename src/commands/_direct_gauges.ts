/**
 * Gauges of an entry host of calls that bear their own request ID.
 *
 * @module
 */
import type { HdrMetrics } from '../adapters/metrics/mod.js';
import type { CrashKeeper } from '../application/crashes/mod.js';
import type { DirectGateway, HostReports, StoreKnowledge } from '../application/direct/mod.js';

/** What the gauges tell of. */
export interface GaugedParts {
  readonly knowledge: StoreKnowledge;
  readonly gateway: DirectGateway;
  readonly reports: HostReports;
  readonly crashes: CrashKeeper;
  readonly isServing: boolean;
}

/**
 * Brings the gauges up to date.
 *
 * @param metrics - where they are kept
 * @param parts - what they tell of
 */
export function updateGauges(
  metrics: HdrMetrics,
  { knowledge, gateway, reports, crashes, isServing }: GaugedParts,
): void {
  metrics.set('configuration_age_ms', Math.round(knowledge.routing.computeAgeMs()));
  metrics.set('calls_under_way', gateway.callCount);
  metrics.set('calls_waiting', gateway.waitingCount);
  metrics.set('entry_hosts_known', reports.knownCount);
  metrics.set('entry_hosts_heard', reports.listHeard().length + 1);
  metrics.set('serving', isServing ? 1 : 0);
  metrics.set('passes_reports_on', reports.isRelay ? 1 : 0);
  metrics.set('zones_closed', knowledge.places.closedCount);
  metrics.set('backend_servers_cold', knowledge.servers.coldCount);
  metrics.set('requests_held', crashes.heldCount);
}
