/**
 * Builds the status of an entry host whose calls carry their own request ID, as
 * `monsoonhall status` reads it.
 *
 * @module
 */
import type { GaugeSources } from './_direct_gauges.js';
import type { EntryHostStatus } from './_status_report.js';

/**
 * Builds the status.
 *
 * @param sources - components that the values are read from
 * @returns the status; times are in milliseconds, rates in requests per second
 */
export function buildDirectStatus(sources: GaugeSources): EntryHostStatus {
  const { gateway, isServing, reports, storeView } = sources;
  const { table } = storeView.routing;
  const ageMs = Math.round(storeView.routing.computeAgeMs());
  return {
    health: { callsUnderWay: gateway.callCount, isRelay: reports.isRelay },
    readiness: { ready: isServing, reasons: isServing ? [] : ['not serving callers'] },
    configuration: {
      revision: table?.version ?? 0,
      hash: '',
      ...(Number.isFinite(ageMs) && { platformSilentMs: ageMs }),
      rejected: [],
    },
    store: [buildStoreRow(sources)],
    entryHosts: listEntryHosts(sources),
    backendServers: listBackendServers(sources),
    queues: { waiting: gateway.summarizeQueues().waitingCalls },
    refusals: {},
  };
}

/** Builds the state of the store that the entry host has reached. */
function buildStoreRow({ follower, storeView }: GaugeSources): Record<string, unknown> {
  const { isUnconfirmed, newestKnownVersion } = storeView.routing;
  return { ...follower.position, isInTouch: follower.isInTouch, isUnconfirmed, newestKnownVersion };
}

function listEntryHosts({ reports }: GaugeSources): Record<string, unknown>[] {
  const heardIds = new Set(reports.listHeard().map(({ identity }) => identity.id));
  return reports.listKnown().map(({ identity, isServing, isCutOff, isLeaving }) => ({
    id: identity.id,
    zone: identity.availabilityZone,
    isHeard: heardIds.has(identity.id),
    isServing,
    isCutOff,
    isLeaving,
  }));
}

function listBackendServers({ storeView, paths }: GaugeSources): Record<string, unknown>[] {
  const { servers } = storeView;
  return servers.listEntries().map(({ id, serviceId, availabilityZone, slots }) => ({
    id,
    service: serviceId,
    zone: availabilityZone,
    usable: servers.isUsable(id),
    pausedMs: Math.round(servers.notices.pauses.computeLeftMs(id)),
    isCut: paths.isCut(id),
    inFlight: servers.loads.find(id)?.inFlight ?? 0,
    slots,
    ...servers.notices.rateLimits.describe(id),
  }));
}
