import t from 'tap';
import { settle } from '../../../test/support/virtual_clock.js';
import { startFollowerFleet } from '../../../test/support/follower_fleet.js';
import type { FollowerHost } from '../../../test/support/follower_fleet.js';

t.test('the number of calls to the store does not grow with the entry hosts', async (t) => {
  const counts: number[] = [];
  for (const count of [3, 12]) {
    const { clock, feed } = await startFollowerFleet(t, count);
    const before = feed.readCount;
    await clock.advance(20_000);
    counts.push(feed.readCount - before);
  }
  t.equal(counts[0], counts[1]);
  // The fake counts two reads for each call; the readers make 1.25 + 0.63 calls a second.
  t.ok((counts[0] ?? Infinity) <= 20 * 2 * 2, String(counts[0]));
});

t.test('only the readers read a store again that has dropped its history', async (t) => {
  // Guards against 1,900 calls to the store within 35 s at 195 entry hosts, where two readers
  // make 80. The store drops its history, the readers read everything and resume, and all other
  // hosts find a gap before the readers' next update. Unless a reader sends what has changed in
  // between, each of them reads everything itself.
  const { clock, feed, hosts } = await startFollowerFleet(t, 12);
  feed.isDown = true;
  await clock.advance(900);
  feed.put('b', 1);
  feed.remove('a');
  feed.discardHistory();
  feed.put('c', 1);
  feed.isDown = false;
  const before = feed.readCount;
  await clock.advance(1_500);
  hosts.forEach(({ keys }, index) => t.same([...keys].sort(), ['b', 'c'], String(index)));
  t.ok(feed.readCount - before <= 12, String(feed.readCount - before));
});

t.test('entry hosts take over from silent readers at staggered times', async (t) => {
  // Guards against a request from each of 195 entry hosts to a store that holds its responses
  // back for a second, and another one when the store cuts them off. The readers' requests stay
  // open, and after 1.2 s without updates all hosts take over at the same moment unless
  // takeovers are staggered.
  const { clock, feed } = await startFollowerFleet(t, 24);
  feed.isSilent = true;
  const before = feed.readCount;
  await clock.advance(1_900);
  // The two readers, and the members whose turn comes within the first 0.3 s of the 0.8 s
  // stagger.
  t.ok(feed.readCount - before <= 2 + 22 / 2, String(feed.readCount - before));
});

t.test('only a few entry hosts retry often while the store is down', async (t) => {
  // Guards against 500 calls a second from 195 entry hosts to a store that is down for five
  // seconds. Each host retried as often as if no other host would report the store's return.
  const counts: number[] = [];
  for (const count of [4, 24]) {
    const { clock, feed, hosts } = await startFollowerFleet(t, count);
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

t.test('all entry hosts get a change at once and know that it is fresh', async (t) => {
  const { clock, feed, hosts } = await startFollowerFleet(t, 6);
  feed.put('b', 1);
  await settle();
  t.ok(hosts.every(({ keys }) => keys.has('b')));
  await clock.advance(3_000);
  hosts.forEach(({ ageMs }, index) => t.ok(ageMs <= 2_000, `${index}: ${ageMs}`));
});

t.test(
  'other entry hosts take over from lost readers before the next change is late',
  async (t) => {
    // Guards against a configuration that is not in force on most entry hosts within two
    // seconds. The entry hosts that read the store lose power, an operator publishes, and the
    // other hosts must not keep waiting for updates from them.
    const { hub, clock, feed, hosts } = await startFollowerFleet(t, 6);
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
  },
);

t.test('an entry host that gets the state only from peers stays fresh', async (t) => {
  const { hub, clock, feed, hosts } = await startFollowerFleet(t, 3);
  const [, , isolatedHost] = hosts as [FollowerHost, FollowerHost, FollowerHost];
  t.ok(hub.isOpen('h0', 'h2'));
  isolatedHost.follower.stop();
  await clock.advance(5_000);
  feed.put('b', 1);
  await clock.advance(10);
  t.ok(isolatedHost.keys.has('b'));
  t.ok(isolatedHost.ageMs <= 2_000, String(isolatedHost.ageMs));
});

t.test('an update that waited in a buffer does not count as fresh', async (t) => {
  // Guards against a revoked key that is accepted by a machine that was suspended. A reader's
  // update waits in a buffer while the receiver is suspended for ten seconds, and is handled
  // after the resume before anything newer. Its age must not be counted from its arrival.
  const { clock, hosts } = await startFollowerFleet(t, 3);
  const [reader, , receiver] = hosts as [FollowerHost, FollowerHost, FollowerHost];
  const heardSequence = reader.reports.findHeardSequence(receiver.network.identity.incarnation);
  const sentAt = receiver.reports.findSentAt(heardSequence);
  t.ok(sentAt);
  clock.jump(10_000);
  const now = { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  if (sentAt) receiver.storeViewAge.confirm(sentAt, now, 0);
  t.ok(receiver.ageMs >= 10_000);
});

t.test('hosts know that a peer which read everything left changes out', async (t) => {
  // Guards against a host that takes its history for complete although items came and went.
  const { clock, feed, hosts } = await startFollowerFleet(t, 4);
  hosts.forEach(({ storePath }) => Object.assign(storePath, { isCut: true }));
  await clock.advance(2_000);
  feed.put('b', 1);
  feed.remove('b');
  feed.put('c', 1);
  feed.discardHistory();
  const [reader, ...others] = hosts as [FollowerHost, ...FollowerHost[]];
  reader.storePath.isCut = false;
  await clock.advance(3_000);
  t.notOk(reader.hasMissedChanges);
  others.forEach(({ keys, hasMissedChanges }, index) => {
    t.ok(keys.has('c'), String(index));
    t.ok(hasMissedChanges, String(index));
  });
});
