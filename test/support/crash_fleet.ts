/**
 * Simulates entry hosts and backend servers that crash under some requests, over fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import { BackendFailure, Reachability } from '../../src/ports/mod.js';
import type { DirectRequest } from '../../src/ports/mod.js';
import { FakeProbe } from './direct_ends.js';
import type { FakeExchange, FakeReply } from './direct_ends.js';
import { buildDocument, buildServer, DirectHost } from './direct_host.js';
import type { DocumentChanges } from './direct_host.js';
import { SeededRandom } from './fakes.js';
import { buildIdentity, FakePeerHub } from './fake_peer_network.js';
import { settle, VirtualClock } from './virtual_clock.js';

/** Time from the arrival of a crashing request to the crash of the server, in milliseconds. */
const CRASH_DELAY_MS = 60;

/** Time from the arrival of a request to an error response, in milliseconds. */
const ERROR_DELAY_MS = 40;

/** Time from a crash until the restart, and until the entry is removed, in milliseconds. */
const RESTART_DELAY_MS = 4_000;
const ENTRY_REMOVAL_DELAY_MS = 1_500;

/** Where hosts that exchange reports find each other. */
const SEED_URLS = [1, 2, 3].map((number) => `ws://h-${number}.test`);

/** Time until hosts that exchange reports know each other, in milliseconds. */
const DISCOVERY_MS = 2_500;

/** Options of a {@link CrashFleet}. */
export interface CrashFleetOptions extends DocumentChanges {
  readonly hosts: number;
  readonly servers: number;
  readonly slots?: number;
  /** Duration of a harmless request in milliseconds. Default: 200. */
  readonly runMs?: number;
  /** Fraction of requests that are answered with status 500 instead of being run. Default: 0. */
  readonly errorFraction?: number;
  /** Time after the start from which bodies that begin with `turns` crash servers too, in ms. */
  readonly turnsAfterMs?: number;
  /**
   * Fraction of the requests at a crashing server whose response has no length, so that it looks
   * complete. Default: 0.
   */
  readonly unframedFraction?: number;
  /** Time from the arrival of a crashing request to the crash, in milliseconds. Default: 60. */
  readonly crashDelayMs?: number;
  /** Time from a crash to the restart of the server, in milliseconds. Default: 4,000. */
  readonly restartDelayMs?: number;
  /** Whether a crashing request on a stream first brings its head and an event. Default: false. */
  readonly beginsBeforeCrash?: boolean;
  /**
   * Whether hosts exchange reports, so that they share slots, and send crash notes along the links
   * of the reports: through relays in a fleet of more than twelve. Default: all send to all.
   */
  readonly sharesReports?: boolean;
  /** Time for which messages between hosts are on their way, in milliseconds. Default: 0. */
  readonly messageDelayMs?: number;
  /** Seed for the choice of responses with an error or without a length. */
  readonly seed?: number;
}

/** The arrival of a request at a server. */
export interface Arrival {
  readonly atMs: number;
  readonly body: string;
  /** Names of the parts of its prompt that other requests may share. */
  readonly parts: readonly string[];
  readonly incarnationId: string;
}

/** Entry hosts, and servers that run all requests but crash under bodies that begin with `ends`. */
export class CrashFleet {
  readonly clock = new VirtualClock();

  readonly hub: FakePeerHub;

  /** Reachability of each server by address. */
  readonly #reachability = new Map<string, Reachability>();

  readonly hosts: DirectHost[] = [];

  readonly arrivals: Arrival[] = [];

  /** Crashes, with the body that caused each; undefined for a crash that no request caused. */
  readonly crashes: { readonly atMs: number; readonly body: string | undefined }[] = [];

  readonly #options: CrashFleetOptions;

  /** Incarnation ID of each server; undefined while the server is down. */
  readonly #incarnations = new Map<string, string | undefined>();

  /** ID of the server that runs each request. */
  readonly #running = new Map<FakeExchange, string>();

  /** Parts of each body's prompt that other requests may share. Requests through peers name none. */
  readonly #sharedParts = new Map<string, readonly string[]>();

  #incarnationCount = 0;

  #startedAtMs = Infinity;

  readonly #random: SeededRandom;

  constructor(t: Test, options: CrashFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.hub = new FakePeerHub(options.sharesReports);
    const { messageDelayMs = 0 } = options;
    if (messageDelayMs > 0) this.hub.delay = { clock: this.clock, pickMs: () => messageDelayMs };
    for (let index = 1; index <= options.hosts; index += 1) this.addHost(t, index);
    t.teardown(() => this.hosts.forEach((host) => host.stop()));
  }

  /** Adds an entry host and starts to follow the feed; its first read completes later. */
  addHost(t: Test, index: number): DirectHost {
    const { clock, hub } = this;
    const probe = new FakeProbe(this.#reachability);
    const identity = buildIdentity(`h-${index}`);
    const shared = { clock, hub, probe, identity };
    const host = this.#options.sharesReports
      ? new DirectHost({ ...shared, seeds: SEED_URLS, seed: index })
      : new DirectHost(shared);
    this.hosts.push(host);
    host.backend.onSend = (exchange) => this.#serve(exchange);
    host.feed.put('configuration', buildDocument(1, this.#options));
    this.#incarnations.forEach((incarnationId, serverId) => {
      if (incarnationId !== undefined) this.#register(host, serverId, incarnationId);
    });
    host.start(this.#options, []);
    return host;
  }

  async start(): Promise<void> {
    for (let index = 1; index <= this.#options.servers; index += 1) this.#startServer(`s-${index}`);
    if (this.#options.sharesReports) await this.clock.advance(DISCOVERY_MS);
    else await settle();
    this.#startedAtMs = this.clock.nowMs();
  }

  /** Number of servers that are up. */
  get upCount(): number {
    return [...this.#incarnations.values()].filter((id) => id !== undefined).length;
  }

  /** Sends a call to one entry host. */
  call(hostIndex: number, body: string, changes: Partial<DirectRequest> = {}): FakeReply {
    const shared = (changes.prompt?.parts ?? []).slice(0, -1).map(({ id }) => id);
    if (shared.length > 0) this.#sharedParts.set(body, shared);
    const host = this.hosts[hostIndex % this.hosts.length] as DirectHost;
    return host.call({ body: Buffer.from(body), ...changes });
  }

  /** @returns the number of requests with a body that reached servers after a given time */
  countArrivals(body: string, afterMs = 0): number {
    return this.arrivals.filter((arrival) => arrival.body === body && arrival.atMs > afterMs)
      .length;
  }

  /** @returns the number of requests with a shared part that reached servers after a given time */
  countPartArrivals(part: string, afterMs = 0): number {
    return this.arrivals.filter(({ parts, atMs }) => parts.includes(part) && atMs > afterMs).length;
  }

  /** @returns time of the n-th crash that a body or part caused; Infinity if it has not happened */
  findCrashMs(body: string, number: number): number {
    const crashes = this.crashes.filter((end) => end.body === body);
    return crashes[number - 1]?.atMs ?? Infinity;
  }

  /** Lists the IDs of the servers that run a request with a given body. */
  listServersOf(body: string): string[] {
    return [...this.#running]
      .filter(([exchange]) => exchange.request.request.body.toString() === body)
      .map(([, serverId]) => serverId);
  }

  /** Crashes several servers at the same time; each restarts later. */
  crashServers(serverIds: readonly string[], body?: string): void {
    const crashingIds = new Set(serverIds.filter((serverId) => this.#incarnations.get(serverId)));
    crashingIds.forEach((serverId) => {
      const key = `servers/${this.#incarnations.get(serverId)}`;
      this.clock.setTimer(ENTRY_REMOVAL_DELAY_MS, () =>
        this.hosts.forEach((host) => host.feed.remove(key)),
      );
      this.crashes.push({ atMs: this.clock.nowMs(), body });
      this.#incarnations.set(serverId, undefined);
      this.#reachability.set(formatAddress(serverId), Reachability.Refused);
      const { restartDelayMs = RESTART_DELAY_MS } = this.#options;
      this.clock.setTimer(restartDelayMs, () => this.#startServer(serverId));
    });
    [...this.#running]
      .filter(([, serverId]) => crashingIds.has(serverId))
      .forEach(([exchange]) => this.#finish(exchange, () => this.#breakConnection(exchange)));
  }

  /** Marks servers as draining in their registry entries. */
  drainServers(serverIds: readonly string[]): void {
    serverIds.forEach((serverId) => {
      const incarnationId = this.#incarnations.get(serverId);
      if (incarnationId === undefined) return;
      this.hosts.forEach((host) => this.#register(host, serverId, incarnationId, true));
    });
  }

  /** Breaks all connections of one entry host to servers without any crash. */
  resetHost(host: DirectHost): void {
    [...this.#running.keys()]
      .filter((exchange) => host.backend.sent.includes(exchange))
      .forEach((exchange) => this.#finish(exchange, () => exchange.fail(BackendFailure.Lost)));
  }

  #startServer(serverId: string): void {
    this.#incarnationCount += 1;
    const incarnationId = `${serverId}.${this.#incarnationCount}`;
    this.#incarnations.set(serverId, incarnationId);
    this.#reachability.set(formatAddress(serverId), Reachability.Open);
    this.hosts.forEach((host) => this.#register(host, serverId, incarnationId));
  }

  #register(host: DirectHost, serverId: string, incarnationId: string, isLeaving = false): void {
    const { slots = 8 } = this.#options;
    const entry = { slots, isLeaving, address: formatAddress(serverId) };
    host.feed.put(`servers/${incarnationId}`, buildServer(incarnationId, entry));
  }

  #serve(exchange: FakeExchange): void {
    const { address, incarnationId, request } = exchange.request;
    const serverId = address.split(':')[0] as string;
    const isUp = this.#incarnations.get(serverId) === incarnationId;
    if (!isUp) {
      this.clock.setTimer(1, () => {
        if (!exchange.isCancelled) exchange.fail(BackendFailure.NotSent);
      });
      return;
    }
    const body = request.body.toString();
    const parts = this.#sharedParts.get(body) ?? [];
    this.arrivals.push({ atMs: this.clock.nowMs(), body, parts, incarnationId });
    this.#running.set(exchange, serverId);
    if (this.#random.nextFraction() < (this.#options.errorFraction ?? 0)) {
      this.clock.setTimer(ERROR_DELAY_MS, () =>
        this.#finish(exchange, () => exchange.sendResponse(500)),
      );
      return;
    }
    const cause = [body, ...parts].find((name) => this.#isCrashing(name));
    if (cause !== undefined) {
      const { crashDelayMs = CRASH_DELAY_MS, beginsBeforeCrash } = this.#options;
      if (beginsBeforeCrash) this.clock.setTimer(crashDelayMs / 2, () => beginAnswer(exchange));
      this.clock.setTimer(crashDelayMs, () => {
        const isSame = this.#incarnations.get(serverId) === incarnationId;
        if (isSame && !exchange.isCancelled) this.crashServers([serverId], cause);
      });
      return;
    }
    this.clock.setTimer(this.#options.runMs ?? 200, () =>
      this.#finish(exchange, () => exchange.sendResponse()),
    );
  }

  #breakConnection(exchange: FakeExchange): void {
    const { unframedFraction: unframedShare = 0 } = this.#options;
    if (this.#random.nextFraction() < unframedShare) exchange.sendResponse(200, 'ok', false);
    else exchange.fail(BackendFailure.Lost);
  }

  /** Tells whether a body, or a part of a prompt, crashes servers. */
  #isCrashing(name: string): boolean {
    const { turnsAfterMs = Infinity } = this.#options;
    const isTurnDue = this.clock.nowMs() - this.#startedAtMs >= turnsAfterMs;
    return name.startsWith('ends') || (name.startsWith('turns') && isTurnDue);
  }

  #finish(exchange: FakeExchange, onFinish: () => void): void {
    if (!this.#running.delete(exchange) || exchange.isCancelled) return;
    onFinish();
  }
}

function beginAnswer(exchange: FakeExchange): void {
  if (exchange.isCancelled) return;
  exchange.sendHead({ isEventStream: true });
  exchange.events(1, 1);
}

function formatAddress(serverId: string): string {
  return `${serverId}:80`;
}
