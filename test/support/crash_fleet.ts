/**
 * Entry hosts before backend servers that some requests end, over fakes.
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

/** Time from a request's arrival at a server to the server's end, in milliseconds. */
const CRASH_AFTER_MS = 60;

/** Time from a request's arrival to an answer with an error, in milliseconds. */
const ERR_AFTER_MS = 40;

/** Time from a server's end until it is back, and until its entry is removed, in milliseconds. */
const DOWN_MS = 4_000;
const LAPSE_MS = 1_500;

/** How a fleet is made. */
export interface CrashFleetOptions extends DocumentChanges {
  readonly hosts: number;
  readonly servers: number;
  readonly slots?: number;
  /** How long a sound request runs, in milliseconds. Default: 200. */
  readonly runMs?: number;
  /** Part of all requests that servers answer with status 500 instead of running them. Default: 0. */
  readonly errorShare?: number;
  /** Time from which on bodies that begin with `turns` end their servers, too, in milliseconds. */
  readonly turnsAfterMs?: number;
  /** Part of all answers without a length, which look whole when their server ends. Default: 0. */
  readonly unframedShare?: number;
  /** Seed of what is answered so. */
  readonly seed?: number;
}

/** A request that reached a server. */
export interface Arrival {
  readonly atMs: number;
  readonly body: string;
  readonly lifeId: string;
}

/** Servers run what they are sent, and end under bodies that begin with `ends`. */
export class CrashFleet {
  readonly clock = new VirtualClock();

  readonly hub = new FakePeerHub();

  /** What the servers' addresses answer. */
  readonly #addresses = new Map<string, Reachability>();

  readonly hosts: DirectHost[] = [];

  readonly arrivals: Arrival[] = [];

  /** When servers ended, and under which body; no body: for a reason of their own. */
  readonly ends: { readonly atMs: number; readonly body: string | undefined }[] = [];

  readonly #options: CrashFleetOptions;

  /** The life that each server has now; undefined while it is down. */
  readonly #lives = new Map<string, string | undefined>();

  readonly #running = new Map<FakeExchange, string>();

  #lifeCount = 0;

  readonly #startedAtMs = this.clock.nowMs();

  readonly #random: SeededRandom;

  constructor(t: Test, options: CrashFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (let index = 1; index <= options.hosts; index += 1) this.addHost(t, index);
    t.teardown(() => this.hosts.forEach((host) => host.stop()));
  }

  /** Starts an entry host; it has read nothing yet. */
  addHost(t: Test, index: number): DirectHost {
    const { clock, hub } = this;
    const probe = new FakeProbe(this.#addresses);
    const identity = buildIdentity(`h-${index}`);
    const host = new DirectHost({ clock, hub, probe, identity });
    this.hosts.push(host);
    host.backend.onSend = (exchange) => this.#serve(exchange);
    host.feed.put('configuration', buildDocument(1, this.#options));
    this.#lives.forEach((lifeId, serverId) => {
      if (lifeId !== undefined) this.#register(host, serverId, lifeId);
    });
    host.start(this.#options, []);
    return host;
  }

  async start(): Promise<void> {
    for (let index = 1; index <= this.#options.servers; index += 1) this.#startServer(`s-${index}`);
    await settle();
  }

  /** Sends a call to one entry host. */
  call(hostIndex: number, body: string, changes: Partial<DirectRequest> = {}): FakeReply {
    const host = this.hosts[hostIndex % this.hosts.length] as DirectHost;
    return host.call({ body: Buffer.from(body), ...changes });
  }

  /** @returns requests with this body that reached servers after a moment */
  countArrivals(body: string, afterMs = 0): number {
    return this.arrivals.filter((arrival) => arrival.body === body && arrival.atMs > afterMs)
      .length;
  }

  /** @returns when the n-th server ended under this body; Infinity before */
  findEndMs(body: string, number: number): number {
    const ends = this.ends.filter((end) => end.body === body);
    return ends[number - 1]?.atMs ?? Infinity;
  }

  /** Servers that run something with this body. */
  listServersOf(body: string): string[] {
    return [...this.#running]
      .filter(([exchange]) => exchange.request.request.body.toString() === body)
      .map(([, serverId]) => serverId);
  }

  /** Ends servers, all at the same moment. */
  endServers(serverIds: readonly string[], body?: string): void {
    const ending = new Set(serverIds.filter((serverId) => this.#lives.get(serverId)));
    ending.forEach((serverId) => {
      const key = `servers/${this.#lives.get(serverId)}`;
      this.clock.setTimer(LAPSE_MS, () => this.hosts.forEach((host) => host.feed.remove(key)));
      this.ends.push({ atMs: this.clock.nowMs(), body });
      this.#lives.set(serverId, undefined);
      this.#addresses.set(formatAddress(serverId), Reachability.Refused);
      this.clock.setTimer(DOWN_MS, () => this.#startServer(serverId));
    });
    [...this.#running]
      .filter(([, serverId]) => ending.has(serverId))
      .forEach(([exchange]) => this.#finish(exchange, () => this.#breakOff(exchange)));
  }

  /** Servers say that they leave. */
  drainServers(serverIds: readonly string[]): void {
    serverIds.forEach((serverId) => {
      const lifeId = this.#lives.get(serverId);
      if (lifeId === undefined) return;
      this.hosts.forEach((host) => this.#register(host, serverId, lifeId, true));
    });
  }

  /** Closes connections of one host without any server's end. */
  resetHost(host: DirectHost): void {
    [...this.#running.keys()]
      .filter((exchange) => host.backend.sent.includes(exchange))
      .forEach((exchange) => this.#finish(exchange, () => exchange.fail(BackendFailure.Lost)));
  }

  #startServer(serverId: string): void {
    this.#lifeCount += 1;
    const lifeId = `${serverId}.${this.#lifeCount}`;
    this.#lives.set(serverId, lifeId);
    this.#addresses.set(formatAddress(serverId), Reachability.Open);
    this.hosts.forEach((host) => this.#register(host, serverId, lifeId));
  }

  #register(host: DirectHost, serverId: string, lifeId: string, isLeaving = false): void {
    const { slots = 8 } = this.#options;
    const entry = { slots, isLeaving, address: formatAddress(serverId) };
    host.feed.put(`servers/${lifeId}`, buildServer(lifeId, entry));
  }

  #serve(exchange: FakeExchange): void {
    const { address, lifeId, request } = exchange.request;
    const serverId = address.split(':')[0] as string;
    const isThere = this.#lives.get(serverId) === lifeId;
    if (!isThere) {
      this.clock.setTimer(1, () => {
        if (!exchange.isCancelled) exchange.fail(BackendFailure.NotSent);
      });
      return;
    }
    const body = request.body.toString();
    this.arrivals.push({ atMs: this.clock.nowMs(), body, lifeId });
    this.#running.set(exchange, serverId);
    if (this.#random.nextFraction() < (this.#options.errorShare ?? 0)) {
      this.clock.setTimer(ERR_AFTER_MS, () => this.#finish(exchange, () => exchange.answer(500)));
      return;
    }
    if (this.#isEnding(body)) {
      this.clock.setTimer(CRASH_AFTER_MS, () => {
        const isSame = this.#lives.get(serverId) === lifeId;
        if (isSame && !exchange.isCancelled) this.endServers([serverId], body);
      });
      return;
    }
    this.clock.setTimer(this.#options.runMs ?? 200, () =>
      this.#finish(exchange, () => exchange.answer()),
    );
  }

  #breakOff(exchange: FakeExchange): void {
    const { unframedShare = 0 } = this.#options;
    if (this.#random.nextFraction() < unframedShare) exchange.answer(200, 'ok', false);
    else exchange.fail(BackendFailure.Lost);
  }

  #isEnding(body: string): boolean {
    const { turnsAfterMs = Infinity } = this.#options;
    const hasTurned = this.clock.nowMs() - this.#startedAtMs >= turnsAfterMs;
    return body.startsWith('ends') || (body.startsWith('turns') && hasTurned);
  }

  #finish(exchange: FakeExchange, end: () => void): void {
    if (!this.#running.delete(exchange) || exchange.isCancelled) return;
    end();
  }
}

function formatAddress(serverId: string): string {
  return `${serverId}:80`;
}
