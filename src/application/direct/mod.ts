/**
 * Calls that carry their own request ID and are served by the entry host that they reach: views
 * of routes, backend servers and peers, and the handling of a call from its arrival to its end.
 * Entry point: `new DirectGateway(options).handle(request, reply)`.
 *
 * @module
 */
export { AccountSpending } from './account_spending.js';
export { DirectCrashPaths } from './direct_crash_paths.js';
export { DirectGateway } from './direct_gateway.js';
export type { DirectGatewayOptions } from './direct_gateway.js';
export { runDirectStop } from './direct_stop.js';
export { EndCause } from './_end_cause.js';
export { FeedFollower } from './feed_follower.js';
export type { FeedFollowerOptions, ReadPlan, RetryBackoff } from './feed_follower_options.js';
export type { FeedContext, FeedUpdate, SnapshotContext } from './feed_update.js';
export { UpdateEffect } from './_feed_state.js';
export { FeedDistributor, FAST_RETRY_BACKOFF } from './feed_distributor.js';
export type { FeedDistributorOptions } from './feed_distributor.js';
export { HostReports } from './host_reports.js';
export type { HostReportsOptions } from './host_reports_options.js';
export { buildReportStats, NO_STATS } from './report_stats.js';
export type { CountedReport, StatsProviders, StatsSources, ReportStats } from './report_stats.js';
export { ZoneView } from './zone_view.js';
export { RoutingView } from './routing_view.js';
export type { RoutingViewOptions } from './routing_view.js';
export { listServerAddresses } from './list_server_addresses.js';
export { PauseAwareProbe } from './pause_aware_probe.js';
export { ServerRegistry } from './server_registry.js';
export type { ServerRegistryOptions } from './server_registry_options.js';
export { StoreView } from './store_view.js';
export type { StoreViewOptions, StoreLayout, WarmupTolerance } from './store_view.js';
export { createStreamServices } from './stream_services.js';
export type { StreamServices, StreamServicesOptions } from './stream_services.js';
