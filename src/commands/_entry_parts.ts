/**
 * Creates the components of an entry host and connects them with each other.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import { HttpBackendServerClient } from '../adapters/backend_http/mod.js';
import { CallersListener } from '../adapters/callers_http/mod.js';
import { SystemClock } from '../adapters/clock/mod.js';
import { PinoEventLog } from '../adapters/logging/mod.js';
import { HdrMetrics } from '../adapters/metrics/mod.js';
import { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import { HttpPlatformReader } from '../adapters/platform_http/mod.js';
import { SystemRandom } from '../adapters/random/mod.js';
import { TcpServerProbe } from '../adapters/server_probe/mod.js';
import { OtelTracer } from '../adapters/tracing/mod.js';
import { AllowanceManager } from '../application/allowances/mod.js';
import { ConfigurationReplica } from '../application/configuration/mod.js';
import { CrashQuarantine, formatAddress, MeshCrashPaths } from '../application/crashes/mod.js';
import { DispatcherService, SlotClient } from '../application/dispatcher/mod.js';
import type { DispatcherOptions } from '../application/dispatcher/mod.js';
import {
  CallerGateway,
  ForwardedCalls,
  RequestIdIssuer,
  OwnedCalls,
} from '../application/entry_host/mod.js';
import { ForwardClient, ForwardServer } from '../application/forwarding/mod.js';
import { MembershipTracker } from '../application/membership/mod.js';
import type { MembershipView } from '../application/views/mod.js';
import { OwnerService } from '../application/owner/mod.js';
import type { EntryHostIdentity } from '../domain/membership/types.js';
import type { GroupLoad } from '../ports/mod.js';
import { createStrategy } from '../domain/scheduling/mod.js';
import { createCloseReport, ListenerName } from './_close_report.js';
import { buildLimits, createInputGate } from './_listener_limits.js';
import type { EntrySettings } from './settings.js';
import { createTurnMonitor } from './_turn_monitor.js';

const INCARNATION_BYTES = 8;

/** Time beyond the requested wait after which a platform watch is abandoned, in milliseconds. */
const PLATFORM_RESPONSE_MARGIN_MS = 1000;

/**
 * Time for which a starting entry host waits for peers before it relies on the configuration
 * service alone, in milliseconds.
 */
const START_TIMEOUT_MS = 1500;

/** Most requests whose records the owner keeps at once. */
const MAX_REQUEST_RECORDS = 200_000;

/** Creates the ports and the identity that all components share. */
function createBaseParts(settings: EntrySettings) {
  const clock = new SystemClock();
  const random = new SystemRandom();
  const log = new PinoEventLog({ level: settings.logLevel });
  const metrics = new HdrMetrics({ clock });
  const tracer = new OtelTracer({
    entryHostId: settings.id,
    availabilityZone: settings.availabilityZone,
    traceFile: settings.traceFile,
    otlpUrl: settings.otlpUrl,
  });
  const scheme = settings.tlsCertificate === undefined ? 'http' : 'https';
  const { listen, peerListen } = settings;
  const self: EntryHostIdentity = {
    id: settings.id,
    incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
    url: settings.advertise ?? `${scheme}://${listen.host}:${listen.port}`,
    peerUrl: settings.peerAdvertise ?? `ws://${peerListen.host}:${peerListen.port}`,
    availabilityZone: settings.availabilityZone,
  };
  const turns = createTurnMonitor({ clock, log, metrics });
  const gate = createInputGate(settings);
  return { clock, random, log, metrics, tracer, turns, self, gate };
}

/**
 * Creates a reader that abandons a watch soon after the platform should have responded, because
 * a silent watch hides changes until it is abandoned.
 */
function createPlatformReader(baseUrl: string, clock: SystemClock): HttpPlatformReader {
  return new HttpPlatformReader({ baseUrl, clock, responseMarginMs: PLATFORM_RESPONSE_MARGIN_MS });
}

/** Creates the peer links and the views of the configuration and the membership. */
function createClusterViews(settings: EntrySettings, base: ReturnType<typeof createBaseParts>) {
  const { clock } = base;
  const peers = new WsPeerNetwork({
    ...base,
    listenHost: settings.peerListen.host,
    listenPort: settings.peerListen.port,
    clusterKey: settings.clusterKey,
    runHandler: (type, handle) => base.turns.run(type, handle),
  });
  const configuration = new ConfigurationReplica({
    ...base,
    platform: createPlatformReader(settings.configurationUrl, clock),
    peers,
    waitMs: settings.platformWaitMs,
    startTimeoutMs: START_TIMEOUT_MS,
  });
  // Heartbeats report the dispatcher's load and the listener's state, but both components depend
  // on the membership and are created after it. Until then, this object holds initial values.
  const late = { listLoads: (): readonly GroupLoad[] => [], isListening: false };
  const membership: MembershipTracker = new MembershipTracker({
    ...base,
    platform: createPlatformReader(settings.hostListUrl, clock),
    peers,
    seedPeerUrls: settings.peers,
    readWaitMs: settings.platformWaitMs,
    heartbeatMs: settings.heartbeatMs,
    suspectAfterMs: settings.suspectAfterMs,
    listGroupLoads: () => late.listLoads(),
    isReady: () => late.isListening && listUnreadyReasons(configuration, membership).length === 0,
    getConfiguration: () => configuration.getStatus(),
  });
  membership.onPeerConfiguration((incarnation, revision, hash) => {
    configuration.handlePeerRevision(incarnation, revision, hash);
  });
  return { peers, configuration, membership, late };
}

/**
 * Lists why a starting entry host is not ready yet. Peers name it to callers only when the list
 * is empty: a caller sent here earlier would be refused because a configuration is missing that
 * every other entry host has.
 *
 * @param configuration - configuration in effect on this entry host
 * @param membership - this entry host's view of the membership
 * @returns one line for each reason; empty if nothing is missing
 */
export function listUnreadyReasons(
  configuration: ConfigurationReplica,
  membership: MembershipView,
): readonly string[] {
  const reasons: string[] = [];
  if (!configuration.hasLoaded()) reasons.push('no configuration is in effect yet');
  if (configuration.listServices().length === 0) reasons.push('no fleet document is in effect');
  if (!membership.isFresh()) reasons.push('membership is not fresh');
  return reasons;
}

/** Creates the dispatcher, the slot client, the allowances and the backend server client. */
function createDispatchingParts(
  settings: EntrySettings,
  base: ReturnType<typeof createBaseParts>,
  clusterViews: ReturnType<typeof createClusterViews>,
) {
  const { membership, late } = clusterViews;
  const backend = new HttpBackendServerClient();
  const strategy = createStrategy(settings.strategy, { reserveFraction: settings.reserveFraction });
  const options = {
    ...base,
    ...clusterViews,
    backend,
    strategy,
    onBackendServerLoad: (id: string, isLeaving: boolean) => {
      if (isLeaving) membership.recordBackendServerLeaving(id);
    },
  } satisfies DispatcherOptions;
  const dispatcher = new DispatcherService(options);
  late.listLoads = () => dispatcher.listGroupLoads();
  const slots = new SlotClient({ ...options, dispatcher });
  membership.onGroupLoads((incarnation, groups) => slots.handleGroupLoads(incarnation, groups));
  const allowances = new AllowanceManager({ ...base, ...clusterViews });
  return { backend, dispatcher, slots, allowances };
}

/** Creates the quarantine of requests that crash backend servers. */
function createCrashQuarantine(
  base: ReturnType<typeof createBaseParts>,
  { peers, configuration, membership }: ReturnType<typeof createClusterViews>,
): CrashQuarantine {
  const findAddress = (id: string): string | undefined => {
    if (membership.isBackendServerLeaving(id)) return undefined;
    const server = configuration.findBackendServer(id);
    return server && formatAddress(server.url);
  };
  const paths = new MeshCrashPaths({ ...base, peers, selfId: membership.self.id, findAddress });
  return new CrashQuarantine({ ...base, peers, probe: new TcpServerProbe(), paths });
}

/** Creates the owner service, the forwarding between entry hosts and the callers' listener. */
function createRequestParts(
  settings: EntrySettings,
  base: ReturnType<typeof createBaseParts>,
  clusterViews: ReturnType<typeof createClusterViews>,
  dispatching: ReturnType<typeof createDispatchingParts>,
) {
  const shared = { ...base, ...clusterViews, ...dispatching };
  const crashes = createCrashQuarantine(base, clusterViews);
  const owner = new OwnerService({
    ...shared,
    crashes,
    answerBytes: settings.answerBytes,
    answerKeepMs: settings.answerKeepMs,
    maxRecords: MAX_REQUEST_RECORDS,
  });
  const issuer = new RequestIdIssuer({
    ...shared,
    clusterKey: settings.clusterKey,
    requestIdLifetimeMs: settings.requestIdLifetimeMs,
    keepAddressMs: settings.keepAddressMs,
  });
  const calls = new OwnedCalls({ ...shared, owner });
  const forwarded = new ForwardedCalls({ ...shared, issuer, owner, calls });
  const forwardServer = new ForwardServer({
    peers: clusterViews.peers,
    handler: (call, disconnectSignal) => forwarded.handle(call, disconnectSignal),
  });
  const forwardClient = new ForwardClient(shared);
  const gateway = new CallerGateway({ ...shared, issuer, owner, calls, forwardClient });
  const callers = new CallersListener({
    ...shared,
    gateway,
    limits: buildLimits(settings),
    onClosed: createCloseReport(ListenerName.Callers, base),
    tls:
      settings.tlsCertificate !== undefined && settings.tlsKey !== undefined
        ? { certificate: settings.tlsCertificate, key: settings.tlsKey }
        : undefined,
  });
  return { owner, crashes, forwardServer, gateway, callers };
}

/**
 * Creates every component of an entry host without starting any.
 *
 * @param settings - checked settings
 * @returns the components
 */
export function createEntryParts(settings: EntrySettings) {
  const base = createBaseParts(settings);
  const clusterViews = createClusterViews(settings, base);
  const dispatching = createDispatchingParts(settings, base, clusterViews);
  const requests = createRequestParts(settings, base, clusterViews, dispatching);
  return { settings, ...base, ...clusterViews, ...dispatching, ...requests };
}

/** Components of one entry host. */
export type EntryParts = ReturnType<typeof createEntryParts>;
