/**
 * Creates the administration listener, which reports the state of an entry host's components.
 *
 * @module
 */
import { AdminListener } from '../adapters/admin_http/mod.js';
import type { AdminSources, ContractCheck, Readiness } from '../adapters/admin_http/mod.js';
import { explainContract, formatFault, parseContract } from '../domain/contracts/mod.js';
import { createCloseReport, ListenerName } from './_close_report.js';
import { listUnreadyReasons } from './_entry_parts.js';
import { buildLimits } from './_listener_limits.js';
import type { EntryParts } from './_entry_parts.js';
import { VERSION } from './_version.js';

/**
 * Creates the administration listener.
 *
 * @param parts - components of the entry host
 * @returns the listener, not started yet
 */
export function createAdminListener(parts: EntryParts): AdminListener {
  return new AdminListener({
    adminKey: parts.settings.adminKey,
    log: parts.log,
    limits: buildLimits(parts.settings),
    gate: parts.gate,
    onClosed: createCloseReport(ListenerName.Administration, parts),
    sources: createSources(parts),
  });
}

function createSources(parts: EntryParts): AdminSources {
  const { configuration, membership, dispatcher, owner, metrics } = parts;
  return {
    getHealth: () => ({
      id: membership.self.id,
      incarnation: membership.self.incarnation,
      version: VERSION,
      pid: process.pid,
      uptimeMs: Math.round(process.uptime() * 1000),
      fresh: membership.isFresh(),
      stopping: membership.isStopping(),
      runningRequests: owner.runningCount,
      keptAnswerBytes: owner.keptAnswerBytes,
    }),
    getReadiness: () => computeReadiness(parts),
    getConfiguration: () => configuration.getStatus(),
    listEntryHosts: () => membership.listEntryHosts(),
    listBackendServers: () => listBackendServers(parts),
    listQueues: () => dispatcher.listQueues(),
    listRefusals: () => metrics.sumByLabel('caller_refusals_total', 'kind'),
    getMetricsText: () => metrics.exportPrometheus(),
    checkContract,
  };
}

function computeReadiness(parts: EntryParts): Readiness {
  const { configuration, membership, late } = parts;
  const reasons = [...listUnreadyReasons(configuration, membership)];
  if (!late.isListening) reasons.push("the callers' listener is not open yet");
  if (membership.isStopping()) reasons.push('this entry host is stopping');
  return { ready: reasons.length === 0, reasons };
}

function listBackendServers(parts: EntryParts): unknown {
  return parts.configuration.listServices().flatMap((service) =>
    service.backendServers.map((server) => ({
      ...server,
      leaving: parts.membership.isBackendServerLeaving(server.id),
    })),
  );
}

function checkContract(text: string): ContractCheck {
  const result = parseContract(text);
  if (!result.valid) return { ok: false, faults: result.faults.map(formatFault), explanation: [] };
  return {
    ok: true,
    faults: [],
    explanation: explainContract(result.value).map(
      (row) => `${row.subject}: ${row.name} = ${row.value}`,
    ),
  };
}
