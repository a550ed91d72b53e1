/**
 * The routes of the administration listener.
 *
 * @module
 */
import type { HttpExchange, Route } from '../http_common/mod.js';
import type { AdminSources } from './admin_sources.js';

/** Bodies of operators count together. */
const BODY_HOLDER = 'operators';

const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** What a route does, and whether it asks for the key first. */
export interface AdminRoute {
  readonly needsKey: boolean;
  readonly handle: (http: HttpExchange, sources: AdminSources) => void | Promise<void>;
}

/** All routes. */
export const ADMIN_ROUTES: readonly Route<AdminRoute>[] = [
  buildReading('health', '/v1/health', (sources) => sources.getHealth(), false),
  buildRoute('GET', 'readiness', '/v1/readiness', { needsKey: false, handle: handleReadiness }),
  buildReading('configuration', '/v1/configuration', (sources) => sources.getConfiguration()),
  buildReading('entry_hosts', '/v1/entry-hosts', (sources) => sources.listEntryHosts()),
  buildReading('backend_servers', '/v1/backend-servers', (sources) => sources.listBackendServers()),
  buildReading('queues', '/v1/queues', (sources) => sources.listQueues()),
  buildReading('refusals', '/v1/refusals', (sources) => sources.listRefusals()),
  buildReading('status', '/v1/status', buildStatus),
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

function buildReading(
  name: string,
  pattern: string,
  read: (sources: AdminSources) => unknown,
  needsKey = true,
): Route<AdminRoute> {
  const handle = (http: HttpExchange, sources: AdminSources): void =>
    http.sendJson(200, read(sources));
  return buildRoute('GET', name, pattern, { needsKey, handle });
}

/** Everything together, so that `monsoonhall status` needs one call. */
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
  http.sendText(200, await sources.getMetricsText(), { 'content-type': METRICS_TYPE });
}

async function handleContractCheck(http: HttpExchange, sources: AdminSources): Promise<void> {
  const text = await http.readBody(BODY_HOLDER);
  http.sendJson(200, sources.checkContract(text.toString('utf8')));
}
