/**
 * The routes of the administration listener.
 *
 * @module
 */
import type { HttpExchange, Route } from '../http_common/mod.js';
import type { AdminSources } from './admin_sources.js';

/** Holder name in the body budget; all operators share one entry. */
const BODY_BUDGET_HOLDER = 'operators';

const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** A route's handler, and whether the route requires the administration key. */
export interface AdminRoute {
  readonly needsKey: boolean;
  readonly handle: (http: HttpExchange, sources: AdminSources) => void | Promise<void>;
}

/** All routes of the administration listener. */
export const ADMIN_ROUTES: readonly Route<AdminRoute>[] = [
  buildReadRoute('health', '/v1/health', (sources) => sources.getHealth(), false),
  buildRoute('GET', 'readiness', '/v1/readiness', { needsKey: false, handle: handleReadiness }),
  buildReadRoute('configuration', '/v1/configuration', (sources) => sources.getConfiguration()),
  buildReadRoute('entry_hosts', '/v1/entry-hosts', (sources) => sources.listEntryHosts()),
  buildReadRoute('backend_servers', '/v1/backend-servers', (sources) =>
    sources.listBackendServers(),
  ),
  buildReadRoute('queues', '/v1/queues', (sources) => sources.listQueues()),
  buildReadRoute('refusals', '/v1/refusals', (sources) => sources.listRefusals()),
  buildReadRoute('status', '/v1/status', buildStatus),
  buildRoute('GET', 'metrics', '/metrics', { needsKey: true, handle: handleMetrics }),
  buildRoute('POST', 'contract_check', '/v1/contracts/check', {
    needsKey: true,
    handle: handleContractCheck,
  }),
];

function buildRoute(
  method: string,
  name: string,
  pattern: string,
  handler: AdminRoute,
): Route<AdminRoute> {
  return { name, method, pattern, handler };
}

function buildReadRoute(
  name: string,
  pattern: string,
  read: (sources: AdminSources) => unknown,
  needsKey = true,
): Route<AdminRoute> {
  const handle = (http: HttpExchange, sources: AdminSources): void =>
    http.sendJson(200, read(sources));
  return buildRoute('GET', name, pattern, { needsKey, handle });
}

/** Combines all reports, so that `monsoonhall status` needs a single request. */
function buildStatus(sources: AdminSources): unknown {
  return {
    health: sources.getHealth(),
    readiness: sources.getReadiness(),
    configuration: sources.getConfiguration(),
    entryHosts: sources.listEntryHosts(),
    backendServers: sources.listBackendServers(),
    queues: sources.listQueues(),
    refusals: sources.listRefusals(),
  };
}

function handleReadiness(http: HttpExchange, sources: AdminSources): void {
  const readiness = sources.getReadiness();
  http.sendJson(readiness.ready ? 200 : 503, readiness);
}

async function handleMetrics(http: HttpExchange, sources: AdminSources): Promise<void> {
  http.sendText(200, await sources.getMetricsText(), { 'content-type': METRICS_CONTENT_TYPE });
}

async function handleContractCheck(http: HttpExchange, sources: AdminSources): Promise<void> {
  const body = await http.readBody(BODY_BUDGET_HOLDER);
  http.sendJson(200, sources.checkContract(body.toString('utf8')));
}
