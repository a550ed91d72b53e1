import t from 'tap';
import type { Test } from 'tap';
import { FakeFeed } from '../../../test/support/fake_feed.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { FakeLog, FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { ConfirmedAge } from '../../domain/freshness/mod.js';
import { FeedFollower, FeedSharing, HostReports, NO_FIGURES } from './mod.js';
import type { FeedContext } from './mod.js';

/** An entry host that follows the store, and knows how old its knowledge is. */
class FollowerHost {
  readonly network: FakePeerNetwork;

  readonly follower: FeedFollower;

  readonly reports: HostReports;

  readonly sharing: FeedSharing;

  readonly knowledgeAge = new ConfirmedAge();

  readonly keys = new Set<string>();

  readonly #clock: VirtualClock;

  constructor(id: string, hub: FakePeerHub, clock: VirtualClock, feed: FakeFeed) {
    this.#clock = clock;
    this.network = new FakePeerNetwork(hub, buildIdentity(id));
    const shared = { clock, log: new FakeLog(), metrics: new FakeMetrics() };
    const self = this.network.identity;
    this.reports = new HostReports({
      ...shared,
      self,
      cores: 1,
      peers: this.network,
      seedPeerUrls: [],
      getState: () => ({
        isServing: true,
        isInTouch: this.follower.isInTouch,
        isLeaving: false,
      }),
      buildFigures: () => NO_FIGURES,
      onReport: () => undefined,
      onSilent: () => undefined,
      onReach: () => undefined,
    });
    this.follower = new FeedFollower({
      ...shared,
      feed,
      random: new SeededRandom(),
      getReadPlan: () => this.sharing.getReadPlan(),
      getRetryPauses: () => this.sharing.getRetryPauses(),
      onAll: (items, context) => {
        this.keys.clear();
        items.forEach(({ key }) => this.keys.add(key));
        this.#confirm(context);
      },
      onChanges: (changes, context) => {
        changes.forEach(({ key, value }) => {
          if (value) this.keys.add(key);
          else this.keys.delete(key);
        });
        this.#confirm(context);
      },
      onRead: (update, context) => this.sharing.sendUpdate(update, context),
    });
    this.sharing = new FeedSharing({
      ...shared,
      peers: this.network,
      reports: this.reports,
      follower: this.follower,
    });
  }

  get ageMs(): number {
    return this.knowledgeAge.computeAgeMs(this.#readMoment());
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
    this.knowledgeAge.confirm(askedAt, this.#readMoment(), ageMs);
  }

  #readMoment(): { readonly steadyMs: number; readonly wallMs: number } {
    return { steadyMs: this.#clock.nowMs(), wallMs: this.#clock.wallMs() };
  }
}

interface Fleet {
  readonly hub: FakePeerHub;
  readonly clock: VirtualClock;
  readonly feed: FakeFeed;
  readonly hosts: readonly FollowerHost[];
}

async function startFleet(t: Test, count: number): Promise<Fleet> {
  const hub = new FakePeerHub();
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
  await clock.advance(5_000);
  return { hub, clock, feed, hosts };
}

t.test('the calls to the store do not grow with the entry hosts', async (t) => {
  const counts: number[] = [];
  for (const count of [3, 12]) {
    const { clock, feed } = await startFleet(t, count);
    const before = feed.readCount;
    await clock.advance(20_000);
    counts.push(feed.readCount - before);
  }
  t.equal(counts[0], counts[1]);
  // Two reads of the fake a call, 1.25 + 0.63 calls a second.
  t.ok((counts[0] ?? Infinity) <= 20 * 2 * 2, String(counts[0]));
});

t.test('a store that drops its history is read anew by its readers alone', async (t) => {
  // Symptom: 1,900 calls to the store within 35 s at 195 entry hosts, where two readers make 80.
  // Sequence: the store drops its history; the readers read everything and go on from there;
  // all others find a gap before the readers' next update.
  // Cause: what had changed in between was told to nobody, and each read everything itself.
  const { clock, feed, hosts } = await startFleet(t, 12);
  feed.isDown = true;
  await clock.advance(900);
  feed.put('b', 1);
  feed.remove('a');
  feed.forgetHistory();
  feed.put('c', 1);
  feed.isDown = false;
  const before = feed.readCount;
  await clock.advance(1_500);
  hosts.forEach(({ keys }, index) => t.same([...keys].sort(), ['b', 'c'], String(index)));
  t.ok(feed.readCount - before <= 12, String(feed.readCount - before));
});

t.test('entry hosts take over from silent readers one after the other', async (t) => {
  // Symptom: a store that keeps its answers back for a second gets a question from each of 195
  // entry hosts, and another one when it cuts them off.
  // Sequence: the readers' questions stay open; after 1.2 s without word all take over.
  // Cause: nothing told one that the others had taken over at the same moment.
  const { clock, feed } = await startFleet(t, 24);
  feed.isSilent = true;
  const before = feed.readCount;
  await clock.advance(1_900);
  // The two readers, and the members whose turn has come within the first 0.3 s of 0.8.
  t.ok(feed.readCount - before <= 2 + 22 / 2, String(feed.readCount - before));
});

t.test('a store that is down is asked often by a few entry hosts alone', async (t) => {
  // Symptom: 195 entry hosts send 500 calls a second to a store that is down.
  // Sequence: the store is down for five seconds.
  // Cause: each asked as often as if nobody else would tell it of the store's return.
  const counts: number[] = [];
  for (const count of [4, 24]) {
    const { clock, feed, hosts } = await startFleet(t, count);
    feed.isDown = true;
    const before = feed.readCount;
    await clock.advance(5_000);
    counts.push(feed.readCount - before);
    feed.isDown = false;
    feed.put('b', 1);
    await clock.advance(600);
    hosts.forEach(({ keys }, index) => t.ok(keys.has('b'), `${count}: ${index}`));
  }
  const [few = 0, many = Infinity] = counts;
  t.ok(many <= few + 20 * 4, counts.join());
});

t.test('everybody hears of a change at once, and knows it to be fresh', async (t) => {
  const { clock, feed, hosts } = await startFleet(t, 6);
  feed.put('b', 1);
  await settle();
  t.ok(hosts.every(({ keys }) => keys.has('b')));
  await clock.advance(3_000);
  hosts.forEach(({ ageMs }, index) => t.ok(ageMs <= 2_000, `${index}: ${ageMs}`));
});

t.test('when the readers go, others read in time for the next change', async (t) => {
  // Symptom: a configuration is not in force within two seconds on most entry hosts.
  // Sequence: the entry hosts that read the store lose power; an operator publishes.
  // Cause: the others waited for word from them.
  const { hub, clock, feed, hosts } = await startFleet(t, 6);
  const [first, second, ...others] = hosts as [FollowerHost, FollowerHost, ...FollowerHost[]];
  [first, second].forEach((reader) => {
    hosts.forEach((host) => {
      if (host !== reader) hub.silence(reader.network.identity.id, host.network.identity.id);
    });
    reader.stop();
  });
  feed.put('b', 1);
  await clock.advance(1_500);
  others.forEach(({ keys }, index) => t.ok(keys.has('b'), String(index)));
});

t.test('an entry host that only its peers connect to the store stays fresh', async (t) => {
  const { hub, clock, feed, hosts } = await startFleet(t, 3);
  const [, , cut] = hosts as [FollowerHost, FollowerHost, FollowerHost];
  t.ok(hub.isOpen('h0', 'h2'));
  cut.follower.stop();
  await clock.advance(5_000);
  feed.put('b', 1);
  await clock.advance(10);
  t.ok(cut.keys.has('b'));
  t.ok(cut.ageMs <= 2_000, String(cut.ageMs));
});

t.test('an update that waited for long confirms nothing fresh', async (t) => {
  // Symptom: a revoked key is served by a machine that was suspended.
  // Sequence: a reader's update waits in a buffer while the receiver is suspended for
  // ten seconds; it is handled after the wake, before anything newer.
  // Cause: the age was counted from the update's arrival.
  const { clock, hosts } = await startFleet(t, 3);
  const [reader, , receiver] = hosts as [FollowerHost, FollowerHost, FollowerHost];
  const heard = reader.reports.findHeardSequence(receiver.network.identity.incarnation);
  const sentAt = receiver.reports.findSentAt(heard);
  t.ok(sentAt);
  clock.jump(10_000);
  const now = { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  if (sentAt) receiver.knowledgeAge.confirm(sentAt, now, 0);
  t.ok(receiver.ageMs >= 10_000);
});
