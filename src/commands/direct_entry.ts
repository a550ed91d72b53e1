/**
 * An entry host for calls that bear their own request ID, from its parts.
 *
 * @module
 */
import { SystemClock } from '../adapters/clock/mod.js';
import { DirectListener } from '../adapters/direct_http/mod.js';
import type { DirectDialect } from '../adapters/direct_http/mod.js';
import { LimitedEventLog, PinoEventLog } from '../adapters/logging/mod.js';
import { HdrMetrics } from '../adapters/metrics/mod.js';
import type { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import { SystemRandom } from '../adapters/random/mod.js';
import { TcpServerProbe } from '../adapters/server_probe/mod.js';
import { CrashKeeper } from '../application/crashes/mod.js';
import {
  AccountSpending,
  buildReportFigures,
  DirectCrashPaths,
  FeedFollower,
  FeedSharing,
  HostReports,
  runDirectStop,
  StoreKnowledge,
} from '../application/direct/mod.js';
import type { CountedReport, DirectGateway, StoreLayout } from '../application/direct/mod.js';
import { LogLevel } from '../domain/errors/mod.js';
import { pickAddresses, pickNearHosts } from '../domain/overlay/mod.js';
import type { EntryHostIdentity } from '../domain/membership/mod.js';
import type { CallerLimits } from '../domain/routing/mod.js';
import type { ChangeFeed, Clock, EventLog } from '../ports/mod.js';
import {
  buildDirectIdentity,
  createDirectPeers,
  formatPeerUrl,
  splitAddress,
} from './_direct_peers.js';
import { createDirectGateway } from './_direct_gateway.js';
import { updateGauges } from './_direct_gauges.js';
import type { DirectSettings } from './direct_settings.js';

export { splitAddress } from './_direct_peers.js';

/** Limits on callers before the first configuration. */
const START_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const MS_PER_SECOND = 1_000;

/** What the outside of an entry host is made of. */
export interface DirectEntryAdapters {
  readonly settings: DirectSettings;
  readonly createFeed: (clock: Clock) => ChangeFeed;
  readonly dialect: DirectDialect;
  readonly layout: StoreLayout;
}

/** Who asks for the addresses to use. */
export interface AddressQuery {
  /** IP number of who asks. */
  readonly address: string;
  /** Region that it says it is in; empty: it doesn't say. */
  readonly region: string;
  /** Host name that its calls will be for. */
  readonly hostName: string;
}

/** One running entry host. */
export class DirectEntry {
  readonly clock = new SystemClock();

  readonly log: EventLog = new LimitedEventLog({ log: new PinoEventLog(), clock: this.clock });

  readonly metrics = new HdrMetrics({ clock: this.clock });

  readonly #adapters: DirectEntryAdapters;

  readonly #random = new SystemRandom();

  readonly #self: EntryHostIdentity;

  readonly #peers: WsPeerNetwork;

  readonly #knowledge: StoreKnowledge;

  readonly #spending: AccountSpending;

  readonly #reports: HostReports;

  readonly #follower: FeedFollower;

  readonly #sharing: FeedSharing;

  readonly #crashes: CrashKeeper;

  readonly #gateway: DirectGateway;

  readonly #listener: DirectListener;

  #isStopping = false;

  /** @param adapters - what the outside is made of */
  constructor(adapters: DirectEntryAdapters) {
    this.#adapters = adapters;
    const { settings } = adapters;
    const shared = { clock: this.clock, log: this.log, metrics: this.metrics };
    this.#self = buildDirectIdentity(settings, this.#random);
    this.#peers = createDirectPeers({
      ...shared,
      self: this.#self,
      settings,
      random: this.#random,
    });
    this.#knowledge = new StoreKnowledge({
      ...shared,
      layout: adapters.layout,
      zoneRegions: settings.zoneRegions,
      warmupTolerance: { factor: settings.warmupFactor, slack: settings.warmupSlack },
      countServing: () => this.#reports.countServing() + 1,
      hosts: {
        selfId: settings.hostId,
        listKnown: () => this.#reports.listKnown(),
        isSettled: () => this.#reports.isSettled,
      },
    });
    this.#spending = new AccountSpending(this.clock);
    this.#reports = this.#createReports();
    this.#follower = this.#createFollower(adapters.createFeed(this.clock));
    this.#sharing = new FeedSharing({
      ...shared,
      peers: this.#peers,
      reports: this.#reports,
      follower: this.#follower,
    });
    this.#crashes = new CrashKeeper({
      ...shared,
      peers: this.#peers,
      probe: new TcpServerProbe(),
      random: this.#random,
      paths: new DirectCrashPaths(this.#reports, this.#knowledge.servers),
    });
    this.#gateway = createDirectGateway({
      ...shared,
      settings,
      random: this.#random,
      dialect: adapters.dialect,
      peers: this.#peers,
      reports: this.#reports,
      routing: this.#knowledge.routing,
      servers: this.#knowledge.servers,
      spending: this.#spending,
      crashes: this.#crashes,
    });
    this.#listener = new DirectListener({
      dialect: adapters.dialect,
      getLimits: () => this.#knowledge.routing.table?.document.callerLimits ?? START_LIMITS,
      mustClose: () => this.#isStopping,
      handle: (request, reply) => this.#gateway.handle(request, reply),
    });
    this.#knowledge.routing.onChange(() => this.#handleConfiguration());
    this.#knowledge.servers.onChange(() => this.#gateway.advance());
  }

  /** Whether callers may be sent here. */
  get isServing(): boolean {
    return !this.#isStopping && this.#gateway.isServing;
  }

  /**
   * Lists addresses that a caller is to use.
   *
   * @param caller - who asks, and for what
   * @returns addresses of entry hosts that serve, as far as this one knows
   */
  listAddresses(caller: AddressQuery): readonly string[] {
    const hosts = this.#reports.listHeard().filter(({ isServing }) => isServing);
    const serving = this.isServing ? [...hosts, this.#reports.self] : hosts;
    const near = pickNearHosts(serving, {
      callerRegion: caller.region,
      homeRegions: this.#knowledge.routing.table?.findRegions(caller.hostName),
      findRegion: (zone) => this.#knowledge.findRegion(zone),
    });
    return pickAddresses(near, caller.address);
  }

  /** @returns counters, gauges and histograms as text */
  exportMetrics(): string {
    updateGauges(this.metrics, {
      knowledge: this.#knowledge,
      gateway: this.#gateway,
      reports: this.#reports,
      crashes: this.#crashes,
      isServing: this.isServing,
    });
    return this.metrics.exportPrometheus();
  }

  /**
   * Takes in settings that have changed. Addresses of its own stay those of the start.
   *
   * @param settings - checked settings
   */
  reload(settings: DirectSettings): void {
    this.#reports.setSeeds(settings.seedPeerAddresses.map(formatPeerUrl));
    this.log.write(LogLevel.Info, 'settings_reloaded', {
      seeds: settings.seedPeerAddresses.join(),
    });
  }

  /** Starts everything. */
  async start(): Promise<void> {
    await this.#peers.start();
    const [host, port] = splitAddress(this.#adapters.settings.callersAddress);
    await this.#listener.start(host, port);
    this.#follower.start();
    this.#reports.start();
    this.#crashes.start();
    const { id, incarnation, url, peerUrl } = this.#self;
    this.log.write(LogLevel.Info, 'entry_host_started', {
      entryHost: id,
      incarnation,
      url,
      peerUrl,
    });
  }

  /** Stops as planned. */
  async stop(): Promise<void> {
    await runDirectStop({
      clock: this.clock,
      log: this.log,
      limitMs: this.#adapters.settings.stopLimitS * MS_PER_SECOND,
      announce: () => {
        this.#isStopping = true;
        this.#reports.sendNow();
      },
      refuseNew: () => this.#gateway.refuseNew(),
      closeIdle: () => this.#listener.closeIdle(),
      countCalls: () => this.#gateway.callCount,
      endAll: () => this.#gateway.endAll(),
    });
  }

  #createReports(): HostReports {
    return new HostReports({
      self: this.#self,
      peers: this.#peers,
      seedPeerUrls: this.#adapters.settings.seedPeerAddresses.map(formatPeerUrl),
      clock: this.clock,
      log: this.log,
      cores: this.#adapters.settings.coreShare * this.#adapters.settings.coreSpeed,
      getState: () => ({
        isServing: this.isServing,
        isInTouch: this.#follower.isInTouch,
        isLeaving: this.#isStopping,
      }),
      buildFigures: (sources) =>
        buildReportFigures(
          { servers: this.#knowledge.servers, gateway: this.#gateway, spending: this.#spending },
          sources,
        ),
      onReport: (report) => this.#handleReport(report),
      onSilent: ({ incarnation }) => this.#knowledge.servers.applyPeer(incarnation, undefined),
      onReach: (reach) => this.#spending.setReach(reach),
    });
  }

  #createFollower(feed: ChangeFeed): FeedFollower {
    return new FeedFollower({
      feed,
      clock: this.clock,
      random: this.#random,
      log: this.log,
      metrics: this.metrics,
      getReadPlan: () => this.#sharing.getReadPlan(),
      getRetryPauses: () => this.#sharing.getRetryPauses(),
      onAll: (items, context) => this.#knowledge.applyAll(items, context),
      onChanges: (changes, context) => this.#knowledge.applyChanges(changes, context),
      onRead: (update, context) => this.#sharing.sendUpdate(update, context),
    });
  }

  #handleReport(counted: CountedReport): void {
    const { identity, report } = counted;
    this.#spending.applyReport(counted);
    this.#knowledge.servers.applyPeer(identity.incarnation, report);
    this.#gateway.advance();
  }

  #handleConfiguration(): void {
    this.#spending.applyAccounts(this.#knowledge.routing.table?.document.accounts ?? []);
  }
}
