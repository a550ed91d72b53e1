/**
 * An entry host for calls that bear their own request ID, from its parts.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import { SystemClock } from '../adapters/clock/mod.js';
import { DirectListener, HttpDirectBackend } from '../adapters/direct_http/mod.js';
import type { DirectDialect } from '../adapters/direct_http/mod.js';
import { PinoEventLog } from '../adapters/logging/mod.js';
import { HdrMetrics } from '../adapters/metrics/mod.js';
import { WsPeerNetwork } from '../adapters/peers_ws/mod.js';
import { SystemRandom } from '../adapters/random/mod.js';
import {
  AccountSpending,
  DirectGateway,
  HostReports,
  RoutingKeeper,
  runDirectStop,
  ServerKeeper,
} from '../application/direct/mod.js';
import type { HostReportContent, ReportedPeer } from '../application/direct/mod.js';
import type { BackendServerEntry } from '../domain/backend_servers/mod.js';
import { LogLevel } from '../domain/errors/mod.js';
import type { EntryHostIdentity } from '../domain/membership/mod.js';
import type { CallerLimits, RoutingDocument } from '../domain/routing/mod.js';
import type { ChangeFeed, Clock, EventLog } from '../ports/mod.js';
import type { DirectSettings } from './direct_settings.js';

/**
 * Longest wait of one read of the configuration, in milliseconds. A waiting read
 * confirms nothing until it returns, so the knowledge of keys gets this much older
 * before it is confirmed again.
 */
const CONFIGURATION_WAIT_MS = 1_000;

/** Longest wait of one read of backend servers, in milliseconds; a silent connection is noticed after it. */
const SERVERS_WAIT_MS = 1_500;

/**
 * Part of the revocation time up to which keys are believed. The rest covers clocks
 * that were stepped and the way to the backend server.
 */
const KEY_AGE_PART = 0.8;

/** Silence on a link between peers after which it is asked, and after which it is replaced, in milliseconds. */
const PEER_PING_MS = 400;
const PEER_SILENT_MS = 1_200;

/** Longest pause between two attempts to reach a peer, in milliseconds: a restarted one is soon linked again. */
const PEER_REDIAL_MS = 1_000;

/** Limits on callers before the first configuration. */
const START_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

const MS_PER_SECOND = 1_000;
const INCARNATION_BYTES = 8;

/** What the outside of an entry host is made of. */
export interface DirectEntryAdapters {
  readonly settings: DirectSettings;
  readonly createFeed: (clock: Clock) => ChangeFeed;
  readonly dialect: DirectDialect;
  /** Key that holds the configuration. */
  readonly configurationKey: string;
  /** Start of the keys under which backend servers are registered. */
  readonly serversPrefix: string;
  readonly decodeConfiguration: (value: Uint8Array) => RoutingDocument;
  readonly decodeServer: (key: string, value: Uint8Array) => BackendServerEntry;
}

/** One running entry host. */
export class DirectEntry {
  readonly log: EventLog = new PinoEventLog();

  readonly clock = new SystemClock();

  readonly metrics = new HdrMetrics({ clock: this.clock });

  readonly #adapters: DirectEntryAdapters;

  readonly #random = new SystemRandom();

  readonly #self: EntryHostIdentity;

  readonly #peers: WsPeerNetwork;

  readonly #routing: RoutingKeeper;

  readonly #servers: ServerKeeper;

  readonly #spending: AccountSpending;

  readonly #reports: HostReports;

  readonly #gateway: DirectGateway;

  readonly #listener: DirectListener;

  #isStopping = false;

  /** @param adapters - what the outside is made of */
  constructor(adapters: DirectEntryAdapters) {
    this.#adapters = adapters;
    this.#self = this.#buildIdentity();
    this.#peers = this.#createPeers();
    const shared = {
      feed: adapters.createFeed(this.clock),
      clock: this.clock,
      random: this.#random,
      log: this.log,
      metrics: this.metrics,
    };
    this.#routing = new RoutingKeeper({
      ...shared,
      key: adapters.configurationKey,
      waitMs: CONFIGURATION_WAIT_MS,
      decode: adapters.decodeConfiguration,
    });
    this.#servers = new ServerKeeper({
      ...shared,
      prefix: adapters.serversPrefix,
      waitMs: SERVERS_WAIT_MS,
      decode: adapters.decodeServer,
      isEngine: (id) => this.#routing.table?.findService(id)?.isEngine === true,
    });
    this.#spending = new AccountSpending(this.clock);
    this.#reports = this.#createReports();
    this.#gateway = this.#createGateway();
    this.#listener = new DirectListener({
      dialect: adapters.dialect,
      getLimits: () => this.#routing.table?.document.callerLimits ?? START_LIMITS,
      mustClose: () => this.#isStopping,
      handle: (request, reply) => this.#gateway.handle(request, reply),
    });
    this.#routing.onChange(() => this.#handleConfiguration());
    this.#servers.onChange(() => this.#gateway.advance());
  }

  /** Whether callers may be sent here. */
  get isServing(): boolean {
    return !this.#isStopping && this.#gateway.isServing;
  }

  /** Addresses of all entry hosts that serve callers, as far as this one knows. */
  listAddresses(): string[] {
    const peers = this.#reports
      .listHeard()
      .filter(({ report }) => report.isServing)
      .map(({ identity }) => identity.url);
    return this.isServing ? [this.#self.url, ...peers] : peers;
  }

  /** Starts everything. */
  async start(): Promise<void> {
    await this.#peers.start();
    const [host, port] = splitAddress(this.#adapters.settings.callersAddress);
    await this.#listener.start(host, port);
    this.#routing.start();
    this.#servers.start();
    this.#reports.start();
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

  #buildIdentity(): EntryHostIdentity {
    const { settings } = this.#adapters;
    return {
      id: settings.hostId,
      incarnation: Buffer.from(this.#random.nextBytes(INCARNATION_BYTES)).toString('hex'),
      url: settings.callersAddress,
      peerUrl: `ws://${settings.peersAddress}`,
      availabilityZone: settings.availabilityZone,
    };
  }

  /**
   * The platform gives no secret that only entry hosts have. The key made of the
   * store's address keeps deployments apart that share a network, and no more.
   */
  #createPeers(): WsPeerNetwork {
    const { settings } = this.#adapters;
    const [listenHost, listenPort] = splitAddress(settings.peersAddress);
    return new WsPeerNetwork({
      self: this.#self,
      listenHost,
      listenPort,
      clusterKey: createHash('sha256').update(settings.storeAddress).digest(),
      clock: this.clock,
      random: this.#random,
      log: this.log,
      metrics: this.metrics,
      pingAfterMs: PEER_PING_MS,
      silentAfterMs: PEER_SILENT_MS,
      maxRedialMs: PEER_REDIAL_MS,
    });
  }

  #createReports(): HostReports {
    return new HostReports({
      self: this.#self,
      peers: this.#peers,
      seedPeerUrls: this.#adapters.settings.seedPeerAddresses.map((seed) => `ws://${seed}`),
      clock: this.clock,
      log: this.log,
      metrics: this.metrics,
      buildContent: () => this.#buildReport(),
      onReport: (peer) => this.#handleReport(peer),
      onSilent: ({ id }) => this.#servers.applyPeer(id, undefined),
      onReach: (reach) => this.#spending.setReach(reach),
    });
  }

  #createGateway(): DirectGateway {
    const { settings } = this.#adapters;
    return new DirectGateway({
      clock: this.clock,
      random: this.#random,
      log: this.log,
      metrics: this.metrics,
      backend: new HttpDirectBackend(this.#adapters.dialect),
      routing: this.#routing,
      servers: this.#servers,
      spending: this.#spending,
      retryBounds: {
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowS * MS_PER_SECOND,
      },
      maxKeyAgeMs: settings.keyRevocationMs * KEY_AGE_PART,
      sureAgeMs: settings.configurationApplyMs,
      countEntryHosts: () => this.#reports.knownCount,
    });
  }

  #buildReport(): HostReportContent {
    return {
      isServing: this.isServing,
      configurationVersion: this.#routing.table?.version ?? 0,
      inFlight: this.#servers.countInFlight(),
      spentUnits: this.#spending.listTotals(),
      endedServers: this.#servers.listEnded(),
    };
  }

  #handleReport({ identity, report }: ReportedPeer): void {
    this.#spending.applyPeer(identity.incarnation, report.spentUnits);
    this.#servers.applyPeer(identity.id, report.inFlight, report.endedServers);
    this.#gateway.advance();
  }

  #handleConfiguration(): void {
    this.#spending.applyAccounts(this.#routing.table?.document.accounts ?? []);
  }
}

/**
 * Splits an address.
 *
 * @param address - IP number and port
 * @returns both
 */
export function splitAddress(address: string): [host: string, port: number] {
  const [host = '', port = ''] = address.split(':');
  return [host, Number(port)];
}
