/**
 * Entry hosts that follow one store, by their own reads or by peers' updates, over fakes.
 *
 * @module
 */
import type { Test } from 'tap';
import {
  FeedDistributor,
  FeedFollower,
  HostReports,
  NO_STATS,
} from '../../src/application/direct/mod.js';
import type { FeedContext } from '../../src/application/direct/mod.js';
import { ChangeFeed } from '../../src/ports/mod.js';
import type { FeedChanges, FeedSnapshot } from '../../src/ports/mod.js';
import { ConfirmedAge } from '../../src/domain/freshness/mod.js';
import { FakeFeed } from './fake_feed.js';
import { buildIdentity, FakePeerHub, FakePeerNetwork } from './fake_peer_network.js';
import { FakeLog, FakeMetrics, SeededRandom } from './fakes.js';
import { settle, VirtualClock } from './virtual_clock.js';

/** Addresses by which hosts find each other in a fleet whose links are dialled. */
const SEED_URLS = ['ws://h0.test', 'ws://h1.test', 'ws://h2.test'];

/** Time until all hosts know each other and the readers read, in milliseconds. */
const DISCOVERY_MS = 5_000;

/** The path of one entry host to the store, which may be cut. */
class StorePath extends ChangeFeed {
  isCut = false;

  readonly #feed: ChangeFeed;

  constructor(feed: ChangeFeed) {
    super();
    this.#feed = feed;
  }

  override readAll(prefix: string): Promise<FeedSnapshot> {
    return this.#pass(() => this.#feed.readAll(prefix));
  }

  override readChanges(prefix: string, after: number, waitMs: number): Promise<FeedChanges> {
    return this.#pass(() => this.#feed.readChanges(prefix, after, waitMs));
  }

  async #pass<T>(read: () => Promise<T>): Promise<T> {
    const answer = this.isCut ? undefined : await read();
    if (answer === undefined || this.isCut) throw new Error('Cannot read: the path is cut');
    return answer;
  }
}

/** An entry host that follows the store, holds its keys and tracks the age of its state. */
export class FollowerHost {
  readonly network: FakePeerNetwork;

  readonly follower: FeedFollower;

  readonly reports: HostReports;

  readonly distributor: FeedDistributor;

  readonly storeViewAge = new ConfirmedAge();

  /** Values by key, as text. */
  readonly values = new Map<string, string>();

  /** Whether a peer's update has left out changes that it undoes. */
  hasMissedChanges = false;

  readonly log = new FakeLog();

  readonly metrics = new FakeMetrics();

  readonly storePath: StorePath;

  readonly #clock: VirtualClock;

  constructor(
    id: string,
    hub: FakePeerHub,
    clock: VirtualClock,
    feed: FakeFeed,
    incarnation = `${id}/1`,
  ) {
    this.#clock = clock;
    this.storePath = new StorePath(feed);
    this.network = new FakePeerNetwork(hub, buildIdentity(id, incarnation));
    const shared = { clock, log: this.log, metrics: this.metrics };
    const self = this.network.identity;
    this.reports = new HostReports({
      ...shared,
      self,
      cores: 1,
      peers: this.network,
      seedPeerUrls: hub.isDialled ? SEED_URLS : [],
      getState: () => ({
        isServing: true,
        isInTouch: this.follower.isInTouch,
        isCutOff: false,
        isLeaving: false,
      }),
      buildStats: () => NO_STATS,
      onReport: () => undefined,
      onSilent: () => undefined,
      onReachableFraction: () => undefined,
    });
    this.follower = new FeedFollower({
      ...shared,
      feed: this.storePath,
      random: new SeededRandom(),
      getReadPlan: () => this.distributor.getReadPlan(),
      getRetryBackoff: () => this.distributor.getRetryBackoff(),
      onSnapshot: (items, context) => {
        this.values.clear();
        items.forEach(({ key, value }) => this.values.set(key, Buffer.from(value).toString()));
        this.#confirm(context);
      },
      onChanges: (changes, context) => {
        changes.forEach(({ key, value }) => {
          if (value) this.values.set(key, Buffer.from(value).toString());
          else this.values.delete(key);
        });
        this.hasMissedChanges ||= context.isCondensed === true;
        this.#confirm(context);
      },
      onStoreRead: (update, context) => this.distributor.sendUpdate(update, context),
    });
    this.distributor = new FeedDistributor({
      ...shared,
      peers: this.network,
      reports: this.reports,
      follower: this.follower,
    });
  }

  get keys(): ReadonlySet<string> {
    return new Set(this.values.keys());
  }

  get ageMs(): number {
    return this.storeViewAge.computeAgeMs(this.#readClock());
  }

  start(): void {
    this.follower.start();
    this.reports.start();
  }

  stop(): void {
    this.follower.stop();
    this.reports.stop();
  }

  #confirm({ askedAt, ageMs }: FeedContext): void {
    this.storeViewAge.confirm(askedAt, this.#readClock(), ageMs);
  }

  #readClock(): { readonly steadyMs: number; readonly wallMs: number } {
    return { steadyMs: this.#clock.nowMs(), wallMs: this.#clock.wallMs() };
  }
}

/** Entry hosts that follow one store. */
export interface FollowerFleet {
  readonly hub: FakePeerHub;
  readonly clock: VirtualClock;
  readonly feed: FakeFeed;
  readonly hosts: FollowerHost[];
}

/** Starts entry hosts that follow a store with one key, and waits until they know each other. */
export async function startFollowerFleet(
  t: Test,
  count: number,
  hub = new FakePeerHub(),
): Promise<FollowerFleet> {
  const clock = new VirtualClock();
  const feed = new FakeFeed(clock);
  feed.put('a', 1);
  const hosts = Array.from(
    { length: count },
    (_, index) => new FollowerHost(`h${index}`, hub, clock, feed),
  );
  hosts.forEach((host) => host.start());
  t.teardown(() => hosts.forEach((host) => host.stop()));
  await settle();
  await clock.advance(DISCOVERY_MS);
  return { hub, clock, feed, hosts };
}
