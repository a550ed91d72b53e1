/**
 * One entry host for calls that carry their own request ID, over fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import {
  AccountSpending,
  buildReportStats,
  createStreamServices,
  DirectGateway,
  FeedFollower,
  FAST_RETRY_BACKOFF,
  HostReports,
  listServerAddresses,
  StoreView,
} from '../../src/application/direct/mod.js';
import type {
  RoutingView,
  ServerRegistry,
  StreamServices,
} from '../../src/application/direct/mod.js';
import { HostPaths } from '../../src/application/paths/mod.js';
import { CrashQuarantine } from '../../src/application/crashes/mod.js';
import type { CrashPaths } from '../../src/application/crashes/mod.js';
import type { DirectHostOptions } from './direct_host_options.js';
import { IncarnationCrashPaths } from './incarnation_crash_paths.js';
import { ReportCrashPaths } from './report_crash_paths.js';
import { ServerPaths } from '../../src/domain/paths/mod.js';
import type { HostState } from '../../src/domain/overlay/mod.js';
import type { DirectRequest, RandomSource } from '../../src/ports/mod.js';
import { buildDocument, buildServer, TEST_LAYOUT } from './direct_documents.js';
import type { DocumentChanges } from './direct_documents.js';
import { FakeBackend, FakeProbe, FakeReply } from './direct_ends.js';
import type { FakeExchange } from './direct_ends.js';
import { buildIdentity, FakePeerHub, FakePeerNetwork } from './fake_peer_network.js';
import { FakeFeed } from './fake_feed.js';
import { createTurns, FakeLog, FakeMetrics, SeededRandom } from './fakes.js';
import { settle, VirtualClock } from './virtual_clock.js';

export { buildDocument, buildServer, CLOSED_ZONES_PREFIX } from './direct_documents.js';
export type { DocumentChanges } from './direct_documents.js';

/** Region of each availability zone in tests. */
export const TEST_ZONE_REGIONS = { 'hall-a': 'north', 'hall-b': 'north', 'far-a': 'south' };

const NO_HOSTS: readonly HostState[] = [];

const TEST_STATE = { isServing: true, isInTouch: true, isLeaving: false };

/** Age up to which an API key from the store is accepted in tests, in milliseconds. */
export const MAX_KEY_AGE_MS = 4_000;

/** Retry budget of each service in tests. Hosts start with their share of the slack. */
const RETRY_BOUNDS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

/** A gateway for calls that carry their own request ID, and its collaborators. */
export class DirectHost {
  readonly clock: VirtualClock;

  readonly feed: FakeFeed;

  readonly log = new FakeLog();

  readonly metrics = new FakeMetrics();

  readonly backend = new FakeBackend();

  readonly probe: FakeProbe;

  readonly peers: FakePeerNetwork;

  readonly spending: AccountSpending;

  readonly storeView: StoreView;

  readonly routing: RoutingView;

  readonly servers: ServerRegistry;

  readonly streams: StreamServices;

  readonly gateway: DirectGateway;

  readonly crashes: CrashQuarantine;

  /** What the host knows of its links to the backend servers. */
  readonly paths = new ServerPaths();

  readonly hostPaths: HostPaths;

  readonly follower: FeedFollower;

  /** Exchange of reports with peers; undefined for a host that knows no others. */
  readonly reports: HostReports | undefined;

  /** Whether the host has had the time to receive reports of all other hosts. */
  isSettled = true;

  #nextId = 0;

  constructor(options: DirectHostOptions = {}) {
    this.clock = options.clock ?? new VirtualClock();
    this.feed = new FakeFeed(this.clock);
    this.probe = options.probe ?? new FakeProbe();
    const identity = options.identity ?? buildIdentity('entry-1', 'entry-1/1');
    this.peers = new FakePeerNetwork(options.hub ?? new FakePeerHub(), identity);
    this.spending = new AccountSpending(this.clock);
    const { clock, feed, log, metrics } = this;
    const random = new SeededRandom(options.seed);
    const { measureIdleMs, hasFairShares } = options;
    const shared = { clock, log, metrics, random, measureIdleMs, hasFairShares };
    this.storeView = new StoreView({
      ...shared,
      paths: this.paths,
      layout: TEST_LAYOUT,
      zoneRegions: TEST_ZONE_REGIONS,
      warmupTolerance: { factor: 1, slack: 0 },
      hosts: {
        selfId: identity.id,
        listKnown: () => this.reports?.listKnown() ?? NO_HOSTS,
        listPresent: () => this.reports?.listPresent() ?? NO_HOSTS,
        isSettled: () => this.isSettled && this.reports?.isSettled !== false,
        isConfirmed: () => this.isSettled && this.reports?.settling.isConfirmed !== false,
      },
      countServing: () => (this.reports?.countServing() ?? 0) + 1,
    });
    this.routing = this.storeView.routing;
    this.servers = this.storeView.servers;
    this.hostPaths = new HostPaths({
      ...shared,
      peers: this.peers,
      availabilityZone: identity.availabilityZone,
      probe: this.probe,
      backend: options.client ?? this.backend,
      paths: this.paths,
      listHeard: () => (options.usesPeers !== false && this.reports?.listHeard()) || NO_HOSTS,
      mayReceive: (id) => this.servers.mayReceive(id),
      isPaused: (id) => this.servers.notices.pauses.isPaused(id),
      listServers: () => listServerAddresses(this.servers),
      recordNotice: (evidence) => this.servers.recordNotice(evidence),
    });
    this.crashes = new CrashQuarantine({
      ...shared,
      probe: this.hostPaths.probe,
      peers: this.peers,
      paths: this.#createCrashPaths(options.seeds !== undefined, random),
    });
    this.streams = createStreamServices({
      ...shared,
      turns: createTurns(shared),
      peers: this.peers,
      storeView: this.storeView,
      getReports: () => this.reports,
      feed,
      getFollower: () => this.follower,
      copies: options.streamCopies,
    });
    this.gateway = new DirectGateway({
      ...shared,
      streams: this.streams,
      backend: this.hostPaths.client,
      crashes: this.crashes,
      peers: this.peers,
      routing: this.routing,
      servers: this.servers,
      spending: this.spending,
      reportTimes: {
        findHeardSequence: (incarnation) => this.reports?.findHeardSequence(incarnation) ?? 0,
        findSentAt: (sequence) => this.reports?.findSentAt(sequence),
      },
      retryBounds: RETRY_BOUNDS,
      startedAtMs: this.clock.nowMs() - RETRY_BOUNDS.windowMs,
      maxKeyAgeMs: MAX_KEY_AGE_MS,
      sureAgeMs: 2_000,
      countEntryHosts: () => this.reports?.knownCount ?? 1,
    });
    if (options.seeds) this.reports = this.#createReports(options.seeds);
    this.follower = new FeedFollower({
      ...shared,
      feed,
      getReadPlan: () => ({ waitMs: 1_000, recheckAfterMs: 100 }),
      getRetryBackoff: () => FAST_RETRY_BACKOFF,
      onSnapshot: (items, context) => this.storeView.applySnapshot(items, context),
      onChanges: (changes, context) => this.storeView.applyChanges(changes, context),
      onStoreRead: () => undefined,
    });
    const { routing } = this;
    routing.onChange(() => this.spending.applyAccounts(routing.table?.document.accounts ?? []));
    this.servers.onChange(() => this.gateway.dispatchWaiting());
  }

  /** Publishes a routing document and backend servers, and starts the host. */
  async start(
    changes: DocumentChanges = {},
    serverIds: readonly string[] = ['s-1'],
  ): Promise<void> {
    this.feed.put('configuration', buildDocument(1, changes));
    serverIds.forEach((id) => this.feed.put(`servers/${id}`, buildServer(id)));
    this.follower.start();
    this.crashes.start();
    this.streams.origins.start();
    this.reports?.start();
    await settle();
  }

  /** Stops the timers of the host, so that the test process can exit. */
  stop(): void {
    this.follower.stop();
    this.crashes.stop();
    this.hostPaths.stop();
    this.reports?.stop();
  }

  #createCrashPaths(hasReports: boolean, random: RandomSource): CrashPaths {
    const { peers, servers } = this;
    if (hasReports) return new ReportCrashPaths(() => this.reports as HostReports, servers);
    return new IncarnationCrashPaths({
      peers,
      random,
      selfId: peers.identity.id,
      findAddress: (id) => (servers.isUsable(id) ? servers.findEntry(id)?.address : undefined),
    });
  }

  #createReports(seeds: readonly string[]): HostReports {
    const { clock, log, peers, servers, routing, gateway, spending } = this;
    return new HostReports({
      self: peers.identity,
      cores: 1,
      peers,
      seedPeerUrls: seeds,
      clock,
      log,
      getState: () => ({ ...TEST_STATE, isCutOff: this.paths.isLossConfirmed }),
      listWantedPeers: () => this.hostPaths.listWantedPeers(peers.identity.id),
      carriesRequests: (incarnation) => this.hostPaths.carriesRequests(incarnation),
      buildStats: (sources) => buildReportStats({ servers, routing, gateway, spending }, sources),
      onReport: (counted) => {
        spending.applyReport(counted);
        routing.noteKnownVersion(counted.report.configurationVersion);
        servers.applyPeerStats(counted.identity.incarnation, counted.report);
        gateway.dispatchWaiting();
      },
      onSilent: ({ incarnation }) => servers.applyPeerStats(incarnation, undefined),
      onReachableFraction: (fraction) => spending.setReach(fraction),
    });
  }

  /** Sends one call through the gateway. @returns the recorded reply */
  call(changes: Partial<DirectRequest> = {}, reply = new FakeReply()): FakeReply {
    this.#nextId += 1;
    this.gateway.handle(
      {
        requestId: `r-${this.#nextId}`,
        method: 'POST',
        target: '/a/1',
        path: '/a/1',
        hostName: 'api.example',
        headers: [],
        body: Buffer.alloc(0),
        key: 'key-a',
        deadlineMs: 2_000,
        lastEventId: undefined,
        work: { promptTokens: 100, outputTokens: 10 },
        isSized: true,
        ...changes,
      },
      reply,
    );
    return reply;
  }

  /** @returns the request to a backend server with a given index, from 0 */
  getSent(index: number): FakeExchange {
    const exchange = this.backend.sent[index];
    if (!exchange)
      throw new Error(`Cannot find request ${index}: only ${this.backend.sent.length} were sent`);
    return exchange;
  }
}

/**
 * Starts an entry host for one test.
 *
 * @param t - test at whose end the host stops
 * @param changes - overrides of the routing document
 * @param servers - IDs of the backend servers. @param options - its options. @returns the host
 */
export async function startDirectHost(
  t: Test,
  changes: DocumentChanges = {},
  servers: readonly string[] = ['s-1', 's-2'],
  options: DirectHostOptions = {},
): Promise<DirectHost> {
  const host = new DirectHost(options);
  t.teardown(() => host.stop());
  await host.start(changes, servers);
  return host;
}
