/**
 * Simulates entry hosts that exchange reports and serve calls, over fakes of the backend servers.
 *
 * @module
 */
import type { Test } from 'tap';
import type { BackendServerEntry } from '../../src/domain/backend_servers/mod.js';
import type { DirectRequest } from '../../src/ports/mod.js';
import type { FakeExchange, FakeReply } from './direct_ends.js';
import { buildDocument, buildServer, DirectHost } from './direct_host.js';
import type { DocumentChanges } from './direct_host.js';
import type { FakeFeed, FeedCopy } from './fake_feed.js';
import { SeededRandom } from './fakes.js';
import { buildIdentity, FakePeerHub } from './fake_peer_network.js';
import { VirtualClock } from './virtual_clock.js';

const MS_PER_SECOND = 1_000;

/** Interval at which calls are sent to the entry hosts, in milliseconds. */
const LOAD_STEP_MS = 10;

/** Number of entry hosts that the others find each other by. */
const SEED_COUNT = 3;

/** Time until all entry hosts know each other, in milliseconds. */
const DISCOVERY_MS = 2_500;

/** Options of a {@link DirectFleet}. */
export interface DirectFleetOptions extends DocumentChanges {
  readonly hosts: number;
  readonly servers: number;
  /** Slots of each server. Default: 11. */
  readonly slots?: number;
  readonly seed?: number;
  /** Whether hosts send requests through peers where their links are cut. Default: true. */
  readonly usesPeers?: boolean;
  /** Whether the store still has all its changes when a host starts. Default: false. */
  readonly keepsHistory?: boolean;
  /** Whether slots are divided by fair shares of client accounts. Default: false. */
  readonly hasFairShares?: boolean;
  /** Number of peers that are told of each stream. Default: that of the product. */
  readonly streamCopies?: number;
  /** Picks the availability zone of an entry host by its number, from 1. Default: one for all. */
  readonly pickZone?: (hostNumber: number) => string;
}

/** An entry host that a test starts. */
export interface AddedHost {
  readonly incarnation?: string;
  readonly zone?: string | undefined;
  /** What the store holds by then. Default: the configuration and all servers, just written. */
  readonly store?: FeedCopy | undefined;
}

/** Load on the fleet. */
export interface FleetLoad {
  readonly callsPerSecond: number;
  readonly durationMs: number;
  readonly request?: Partial<DirectRequest>;
  /** Picks the entry host of a call. Default: any. */
  readonly hosts?: readonly DirectHost[];
}

/** A call that a test sent. */
export interface SentCall {
  readonly atMs: number;
  readonly hostId: string;
  readonly reply: FakeReply;
}

/** Entry hosts with one service, whose servers a subclass plays. */
export abstract class DirectFleet {
  readonly clock: VirtualClock = new VirtualClock();

  readonly hub = new FakePeerHub(true);

  readonly hosts: DirectHost[] = [];

  /** All calls in the order in which they were sent. */
  readonly calls: SentCall[] = [];

  protected readonly random: SeededRandom;

  readonly #options: DirectFleetOptions;

  readonly #test: Test;

  constructor(t: Test, options: DirectFleetOptions) {
    this.#options = options;
    this.random = new SeededRandom(options.seed);
    this.#test = t;
  }

  /** IDs of all servers. */
  get serverIds(): string[] {
    return Array.from({ length: this.#options.servers }, (_, index) => `s-${index + 1}`);
  }

  /** Replies to all calls. */
  get replies(): FakeReply[] {
    return this.calls.map(({ reply }) => reply);
  }

  /** What the entry of a server says beyond its slots. */
  protected describeServer(_serverId: string): Partial<BackendServerEntry> {
    return {};
  }

  /** Picks the seed of an entry host. Default: the same for all hosts. */
  protected pickHostSeed(_hostId: string): number | undefined {
    return undefined;
  }

  /** Creates the clock of an entry host. Default: that of the fleet. */
  protected createHostClock(_hostId: string): VirtualClock {
    return this.clock;
  }

  /** Plays the server that a request of an entry host is sent to. */
  protected abstract serve(hostId: string, exchange: FakeExchange): void;

  /** Starts all entry hosts and waits until they know each other. */
  async start(): Promise<void> {
    for (let number = 1; number <= this.#options.hosts; number += 1) {
      await this.addHost(`h-${number}`, { zone: this.#options.pickZone?.(number) });
    }
    await this.clock.advance(DISCOVERY_MS);
  }

  /** Starts one entry host. */
  async addHost(
    id: string,
    { incarnation = `${id}-1`, zone = 'hall-a', store }: AddedHost = {},
  ): Promise<DirectHost> {
    const seeds = Array.from({ length: SEED_COUNT }, (_, index) => `ws://h-${index + 1}.test`);
    const host = new DirectHost({
      clock: this.createHostClock(id),
      hub: this.hub,
      identity: { ...buildIdentity(id, incarnation), availabilityZone: zone },
      seeds,
      seed: this.pickHostSeed(id),
      usesPeers: this.#options.usesPeers,
      streamCopies: this.#options.streamCopies,
      hasFairShares: this.#options.hasFairShares,
    });
    this.#test.teardown(() => host.stop());
    host.backend.onSend = (exchange) => this.serve(id, exchange);
    if (store) host.feed.load(store);
    else this.#fillStore(host.feed);
    this.hosts.push(host);
    await host.start(this.#options, []);
    return host;
  }

  #fillStore(feed: FakeFeed): void {
    feed.put('configuration', buildDocument(1, this.#options));
    this.serverIds.forEach((serverId) => {
      feed.put(
        `servers/${serverId}`,
        buildServer(serverId, {
          slots: this.#options.slots ?? 11,
          ...this.describeServer(serverId),
        }),
      );
    });
    if (!this.#options.keepsHistory) feed.discardHistory();
  }

  /** Ends the process of an entry host. */
  async removeHost(host: DirectHost): Promise<void> {
    this.hosts.splice(this.hosts.indexOf(host), 1);
    host.stop();
    await host.peers.close();
  }

  /** Sends calls to the entry hosts at random moments, at a steady rate. */
  async run({ callsPerSecond, durationMs, request, hosts }: FleetLoad): Promise<void> {
    const callsPerStep = (callsPerSecond * LOAD_STEP_MS) / MS_PER_SECOND;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += LOAD_STEP_MS) {
      for (let left = callsPerStep; this.random.nextFraction() < left; left -= 1) {
        this.call(request, hosts);
      }
      await this.clock.advance(LOAD_STEP_MS);
    }
  }

  /** Sends one call to a random entry host. */
  call(request: Partial<DirectRequest> = {}, hosts: readonly DirectHost[] = this.hosts): FakeReply {
    const host = hosts[Math.floor(this.random.nextFraction() * hosts.length)] as DirectHost;
    const number = this.calls.length + 1;
    const own = { requestId: `call-${number}`, body: Buffer.from(`call ${number}`) };
    const reply = host.call({ ...own, ...request });
    this.calls.push({ atMs: this.clock.nowMs(), hostId: host.peers.identity.id, reply });
    return reply;
  }
}
