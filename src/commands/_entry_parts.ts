/**
 * The parts of an entry host, put together.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import { HttpBackendServerClient } from '../adapters/backend_http/mod.js';
import { CallersListener } from '../adapters/callers_http/mod.js';
import { SystemClock } from '../adapters/clock/mod.js';
import { DEFAULT_HTTP_LIMITS } from '../adapters/http_common/mod.js';
import type { HttpLimits } from '../adapters/http_common/mod.js';
import { PinoEventLog } from '../adapters/logging/mod.js';
import { HdrMetrics } from '../adapters/metrics/mod.js';
import { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import { HttpPlatformReader } from '../adapters/platform_http/mod.js';
import { SystemRandom } from '../adapters/random/mod.js';
import { TcpServerProbe } from '../adapters/server_probe/mod.js';
import { OtelTracer } from '../adapters/tracing/mod.js';
import { AllowanceKeeper } from '../application/allowances/mod.js';
import { ConfigurationKeeper } from '../application/configuration/mod.js';
import { CrashKeeper, formatAddress, MeshCrashPaths } from '../application/crashes/mod.js';
import { DispatcherService, SlotClient } from '../application/dispatcher/mod.js';
import {
  CallerGateway,
  ForwardedCalls,
  IdentityIssuer,
  OwnedCalls,
} from '../application/entry_host/mod.js';
import { ForwardClient, ForwardServer } from '../application/forwarding/mod.js';
import { MembershipKeeper } from '../application/membership/mod.js';
import type { MembershipView } from '../application/views/mod.js';
import { OwnerService } from '../application/owner/mod.js';
import type { EntryHostIdentity } from '../domain/membership/types.js';
import type { GroupLoad } from '../ports/mod.js';
import { createStrategy } from '../domain/scheduling/mod.js';
import type { EntrySettings } from './settings.js';

const INCARNATION_BYTES = 8;
const PLATFORM_MARGIN_MS = 1000;
const RESTART_PATIENCE_MS = 1500;
const MAX_RECORDS = 200_000;

/** Ports and identity that every part is given. */
function createBase(settings: EntrySettings) {
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
  return { clock, random, log, metrics, tracer, self };
}

/**
 * Creates a reader whose watches are given up soon after the platform should
 * have answered: a watch that went silent hides changes until then.
 */
function createReader(baseUrl: string, clock: SystemClock): HttpPlatformReader {
  return new HttpPlatformReader({ baseUrl, clock, answerMarginMs: PLATFORM_MARGIN_MS });
}

/** Links, configuration and membership: what an entry host knows. */
function createKeepers(settings: EntrySettings, base: ReturnType<typeof createBase>) {
  const { clock } = base;
  const peers = new WsPeerNetwork({
    ...base,
    listenHost: settings.peerListen.host,
    listenPort: settings.peerListen.port,
    clusterKey: settings.clusterKey,
  });
  const configuration = new ConfigurationKeeper({
    ...base,
    platform: createReader(settings.configurationUrl, clock),
    peers,
    waitMs: settings.platformWaitMs,
    restartPatienceMs: RESTART_PATIENCE_MS,
  });
  // The dispatcher and the listener need the membership, whose heartbeats tell
  // of both; they are filled in once they are there.
  const late = { listLoads: (): readonly GroupLoad[] => [], isListening: false };
  const membership: MembershipKeeper = new MembershipKeeper({
    ...base,
    platform: createReader(settings.hostListUrl, clock),
    peers,
    seedPeerUrls: settings.peers,
    readWaitMs: settings.platformWaitMs,
    heartbeatMs: settings.heartbeatMs,
    suspectAfterMs: settings.suspectAfterMs,
    listGroupLoads: () => late.listLoads(),
    isReady: () => late.isListening && listStartReasons(configuration, membership).length === 0,
    getConfiguration: () => configuration.getStatus(),
  });
  membership.onPeerConfiguration((incarnation, revision, hash) => {
    configuration.handlePeerRevision(incarnation, revision, hash);
  });
  return { peers, configuration, membership, late };
}

/**
 * Tells what a starting entry host still lacks. Peers name it to callers only
 * when it lacks nothing: a caller sent here before would be refused for want of
 * a configuration that every other entry host has.
 *
 * @param configuration - what is in force here
 * @param membership - who is there
 * @returns a line for each thing that is lacking
 */
export function listStartReasons(
  configuration: ConfigurationKeeper,
  membership: MembershipView,
): readonly string[] {
  const reasons: string[] = [];
  if (!configuration.hasLoaded()) reasons.push('no configuration is in force yet');
  if (configuration.listServices().length === 0) reasons.push('no fleet document is in force');
  if (!membership.isFresh()) reasons.push('membership is not fresh');
  return reasons;
}

/** Dispatching: slots, limits, the last hop. */
function createDispatching(
  settings: EntrySettings,
  base: ReturnType<typeof createBase>,
  keepers: ReturnType<typeof createKeepers>,
) {
  const { membership, late } = keepers;
  const backend = new HttpBackendServerClient();
  const strategy = createStrategy(settings.strategy, { reserveFraction: settings.reserveFraction });
  const options = {
    ...base,
    ...keepers,
    backend,
    strategy,
    noteBackendServerLoad: (id: string, saysLeaving: boolean) => {
      if (saysLeaving) membership.noteBackendServerLeaving(id);
    },
  };
  const dispatcher = new DispatcherService(options);
  late.listLoads = () => dispatcher.listGroupLoads();
  const slots = new SlotClient({ ...options, dispatcher });
  membership.onGroupLoads((incarnation, groups) => slots.handleGroupLoads(incarnation, groups));
  const allowances = new AllowanceKeeper({ ...base, ...keepers });
  return { backend, dispatcher, slots, allowances };
}

/** What finds the requests that end backend servers. */
function createCrashKeeper(
  base: ReturnType<typeof createBase>,
  { peers, configuration, membership }: ReturnType<typeof createKeepers>,
): CrashKeeper {
  const findAddress = (id: string): string | undefined => {
    if (membership.isBackendServerLeaving(id)) return undefined;
    const server = configuration.findBackendServer(id);
    return server && formatAddress(server.url);
  };
  const paths = new MeshCrashPaths({ ...base, peers, selfId: membership.self.id, findAddress });
  return new CrashKeeper({ ...base, peers, probe: new TcpServerProbe(), paths });
}

/** Requests: the owner's side, forwarding, and the callers' listener. */
function createRequests(
  settings: EntrySettings,
  base: ReturnType<typeof createBase>,
  keepers: ReturnType<typeof createKeepers>,
  dispatching: ReturnType<typeof createDispatching>,
) {
  const shared = { ...base, ...keepers, ...dispatching };
  const crashes = createCrashKeeper(base, keepers);
  const owner = new OwnerService({
    ...shared,
    crashes,
    answerBytes: settings.answerBytes,
    answerKeepMs: settings.answerKeepMs,
    maxRecords: MAX_RECORDS,
  });
  const issuer = new IdentityIssuer({
    ...shared,
    clusterKey: settings.clusterKey,
    requestIdLifetimeMs: settings.requestIdLifetimeMs,
    keepAddressMs: settings.keepAddressMs,
  });
  const calls = new OwnedCalls({ ...shared, owner });
  const forwarded = new ForwardedCalls({ ...shared, issuer, owner, calls });
  const forwardServer = new ForwardServer({
    peers: keepers.peers,
    handler: (call, callerGone) => forwarded.handle(call, callerGone),
  });
  const forwardClient = new ForwardClient(shared);
  const gateway = new CallerGateway({ ...shared, issuer, owner, calls, forwardClient });
  const callers = new CallersListener({
    ...shared,
    gateway,
    limits: buildLimits(settings),
    tls:
      settings.tlsCertificate !== undefined && settings.tlsKey !== undefined
        ? { certificate: settings.tlsCertificate, key: settings.tlsKey }
        : undefined,
  });
  return { owner, crashes, forwardServer, gateway, callers };
}

/**
 * @param settings - checked settings
 * @returns the limits of the entry host's listeners
 */
export function buildLimits(settings: EntrySettings): HttpLimits {
  return {
    ...DEFAULT_HTTP_LIMITS,
    maxBodyBytes: settings.maxBodyBytes,
    maxConnections: settings.maxConnections,
    headerTimeoutMs: settings.headerTimeoutMs,
    requestTimeoutMs: settings.requestTimeoutMs,
  };
}

/**
 * Creates every part of an entry host; starts none.
 *
 * @param settings - checked settings
 * @returns the parts
 */
export function createEntryParts(settings: EntrySettings) {
  const base = createBase(settings);
  const keepers = createKeepers(settings, base);
  const dispatching = createDispatching(settings, base, keepers);
  const requests = createRequests(settings, base, keepers, dispatching);
  return { settings, ...base, ...keepers, ...dispatching, ...requests };
}

/** The parts of one entry host. */
export type EntryParts = ReturnType<typeof createEntryParts>;
