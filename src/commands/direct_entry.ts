/**
 * Assembles and runs an entry host whose calls carry their own request ID.
 *
 * @module
 */
import type { DirectListener } from '../adapters/direct_http/mod.js';
import { HdrMetrics } from '../adapters/metrics/mod.js';
import type { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import { SystemRandom } from '../adapters/random/mod.js';
import { CrashQuarantine } from '../application/crashes/mod.js';
import {
  AccountSpending,
  createStreamServices,
  DirectCrashPaths,
  FeedDistributor,
  runDirectStop,
} from '../application/direct/mod.js';
import type {
  DirectGateway,
  FeedFollower,
  HostReports,
  StoreView,
  StreamServices,
} from '../application/direct/mod.js';
import type { HostPaths } from '../application/paths/mod.js';
import { TurnTask } from '../application/turns/mod.js';
import type { TurnMonitor } from '../application/turns/mod.js';
import { LogLevel } from '../domain/errors/mod.js';
import type { EntryHostIdentity } from '../domain/membership/mod.js';
import { ServerPaths } from '../domain/paths/mod.js';
import type { Clock, EventLog } from '../ports/mod.js';
import {
  buildDirectIdentity,
  createDirectPeers,
  formatPeerUrl,
  splitAddress,
} from './_direct_peers.js';
import type { DirectEntryAdapters } from './_direct_entry_adapters.js';
import { listNearbyAddresses } from './_direct_addresses.js';
import type { AddressQuery } from './_direct_addresses.js';
import { createDirectFollower } from './_direct_follower.js';
import { createDirectGateway } from './_direct_gateway.js';
import { createDirectListener } from './_direct_listener.js';
import { createDirectMemory } from './_direct_memory.js';
import type { DirectMemory } from './_direct_memory.js';
import { createHostPaths } from './_direct_paths.js';
import { createDirectReports } from './_direct_reports.js';
import { createDirectStoreView } from './_direct_store_view.js';
import { updateGauges } from './_direct_gauges.js';
import type { GaugeSources } from './_direct_gauges.js';
import { buildDirectStatus } from './_direct_status.js';
import type { EntryHostStatus } from './_status_report.js';
import { createTurnMonitor } from './_turn_monitor.js';
import type { DirectSettings } from './direct_settings.js';

export { splitAddress } from './_direct_peers.js';
export type { AddressQuery } from './_direct_addresses.js';

const MS_PER_SECOND = 1_000;

/** One running entry host. */
export class DirectEntry {
  readonly clock: Clock;

  readonly log: EventLog;

  readonly metrics: HdrMetrics;

  /** What clients may make this process keep. */
  readonly memory: DirectMemory;

  readonly #adapters: DirectEntryAdapters;

  readonly #random = new SystemRandom();

  readonly #turns: TurnMonitor;

  readonly #self: EntryHostIdentity;

  readonly #peers: WsPeerNetwork;

  readonly #storeView: StoreView;

  readonly #spending: AccountSpending;

  readonly #reports: HostReports;

  readonly #feedFollower: FeedFollower;

  readonly #feedDistributor: FeedDistributor;

  /** What is known of this host's links to the backend servers. */
  readonly #paths = new ServerPaths();

  readonly #hostPaths: HostPaths;

  readonly #crashes: CrashQuarantine;

  readonly #streams: StreamServices;

  readonly #gateway: DirectGateway;

  readonly #listener: DirectListener;

  #isStopping = false;

  /** @param adapters - settings and adapters to the environment */
  constructor(adapters: DirectEntryAdapters) {
    this.#adapters = adapters;
    const { settings, clock, log } = adapters;
    this.clock = clock;
    this.log = log;
    this.metrics = new HdrMetrics({ clock });
    this.#turns = createTurnMonitor({ clock, log, metrics: this.metrics });
    this.memory = createDirectMemory(settings);
    const { metrics, memory } = this;
    const shared = {
      clock,
      log,
      metrics,
      random: this.#random,
      turns: this.#turns,
      settings,
      memory,
    };
    this.#self = buildDirectIdentity(settings, this.#random);
    this.#peers = createDirectPeers({ ...shared, self: this.#self });
    const linked = { ...shared, peers: this.#peers };
    this.#storeView = createDirectStoreView({
      ...shared,
      paths: this.#paths,
      layout: adapters.layout,
      getReports: () => this.#reports,
    });
    this.#spending = new AccountSpending(clock);
    this.#reports = this.#createReports();
    const feed = adapters.createFeed(clock);
    this.#feedFollower = createDirectFollower({
      ...shared,
      feed,
      storeView: this.#storeView,
      getDistributor: () => this.#feedDistributor,
    });
    this.#feedDistributor = new FeedDistributor({
      ...linked,
      reports: this.#reports,
      follower: this.#feedFollower,
    });
    this.#hostPaths = createHostPaths({
      ...linked,
      dialect: adapters.dialect,
      paths: this.#paths,
      listHeard: () => this.#reports.listHeard(),
      servers: this.#storeView.servers,
    });
    this.#crashes = new CrashQuarantine({
      ...linked,
      probe: this.#hostPaths.probe,
      paths: new DirectCrashPaths(this.#reports, this.#storeView.servers),
    });
    this.#streams = createStreamServices({
      ...linked,
      storeView: this.#storeView,
      getReports: () => this.#reports,
      feed,
      getFollower: () => this.#feedFollower,
    });
    this.#gateway = createDirectGateway({
      ...linked,
      backend: this.#hostPaths.client,
      reports: this.#reports,
      routing: this.#storeView.routing,
      servers: this.#storeView.servers,
      spending: this.#spending,
      crashes: this.#crashes,
      streams: this.#streams,
    });
    this.#listener = createDirectListener(shared, {
      dialect: adapters.dialect,
      routing: this.#storeView.routing,
      mustClose: () => this.#isStopping,
      handle: (request, reply) => this.#gateway.handle(request, reply),
    });
    const { routing } = this.#storeView;
    routing.onChange(() => this.#spending.applyAccounts(routing.table?.document.accounts ?? []));
    this.#storeView.servers.onChange(() => this.#gateway.dispatchWaiting());
  }

  /** Whether callers may be sent to this entry host. */
  get isServing(): boolean {
    return !this.#isStopping && this.#gateway.isServing;
  }

  /**
   * Lists the addresses that a caller should use.
   *
   * @param query - location of the caller and the host name it will call
   * @returns addresses of nearby entry hosts that serve, as far as this one knows
   */
  listAddresses(query: AddressQuery): readonly string[] {
    return listNearbyAddresses(this.#listSources(), query);
  }

  /** @returns counters, gauges and histograms as text */
  exportMetrics(): string {
    return this.#turns.run(TurnTask.Metrics, () => {
      updateGauges(this.metrics, this.#listSources());
      return this.metrics.exportPrometheus();
    });
  }

  /** @returns what this entry host believes at present, for operators */
  buildStatus(): EntryHostStatus {
    return this.#turns.run(TurnTask.Status, () => buildDirectStatus(this.#listSources()));
  }

  /**
   * Applies the seed addresses of changed settings. All other settings, such as this host's own
   * addresses, keep their values from the start of the process.
   *
   * @param settings - checked settings
   */
  reload(settings: DirectSettings): void {
    this.#reports.setSeedUrls(settings.seedPeerAddresses.map(formatPeerUrl));
    const seeds = settings.seedPeerAddresses.join();
    this.log.write(LogLevel.Info, 'settings_reloaded', { seeds });
  }

  /** Listens for peers and callers; resolves once both addresses are available. */
  async listen(): Promise<void> {
    const [host, port] = splitAddress(this.#adapters.settings.callersAddress);
    await Promise.all([this.#peers.start(), this.#listener.start(host, port)]);
  }

  /** Starts every component. */
  start(): void {
    this.#turns.start();
    this.#feedFollower.start();
    this.#reports.start();
    this.#crashes.start();
    this.#streams.origins.start();
    const { id: entryHost, incarnation, url, peerUrl } = this.#self;
    this.log.write(LogLevel.Info, 'entry_host_started', { entryHost, incarnation, url, peerUrl });
  }

  /** Runs a planned stop. */
  async stop(): Promise<void> {
    await runDirectStop({
      clock: this.clock,
      log: this.log,
      limitMs: this.#adapters.settings.stopLimitS * MS_PER_SECOND,
      announceStop: () => {
        this.#isStopping = true;
        this.#reports.sendNow();
      },
      setCallsEnd: (endAtMs) => this.#gateway.setCallsEnd(endAtMs),
      refuseNewCalls: () => this.#gateway.refuseNewCalls(),
      stopAccepting: () => this.#listener.stopAccepting(),
      countCalls: () => this.#gateway.callCount,
      countUnsentAnswers: () => this.#listener.unsentCount,
      stopAllCalls: () => this.#gateway.stopAllCalls(),
      requestsOfPeers: this.#hostPaths.server,
    });
  }

  #listSources(): GaugeSources {
    return {
      storeView: this.#storeView,
      follower: this.#feedFollower,
      gateway: this.#gateway,
      reports: this.#reports,
      crashes: this.#crashes,
      streams: this.#streams,
      paths: this.#paths,
      hostPaths: this.#hostPaths,
      memory: this.memory,
      isServing: this.isServing,
    };
  }

  #createReports(): HostReports {
    return createDirectReports({
      self: this.#self,
      peers: this.#peers,
      settings: this.#adapters.settings,
      clock: this.clock,
      log: this.log,
      storeView: this.#storeView,
      spending: this.#spending,
      paths: this.#paths,
      getParts: () => ({ gateway: this.#gateway, hostPaths: this.#hostPaths }),
      getState: () => ({
        isServing: this.isServing,
        isInTouch: this.#feedFollower.isInTouch,
        isLeaving: this.#isStopping,
      }),
    });
  }
}
