import t from 'tap';
import { FakeFeed } from '../../../test/support/fake_feed.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { FollowerHarness } from '../../../test/support/follower_harness.js';
import { startStreamFleet, StreamState } from '../../../test/support/stream_fleet.js';
import type { StreamCaller } from '../../../test/support/stream_fleet.js';
import { ErrorKind } from '../../domain/errors/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { FeedUpdate } from './mod.js';

/** Time within which a caller must hear that its stream is unknown, in milliseconds. */
const QUICK_MS = 200;

/** Guards against refusals where no other version can have begun the stream. */
t.test('an unknown stream goes on where all servers have run one version for long', async (t) => {
  const fleet = await startStreamFleet(t, { pickVersion: () => 'v1' });
  await fleet.clock.advance(35_000);
  const caller = fleet.createCaller();
  caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
  await fleet.clock.advance(500);
  t.equal(caller.state, StreamState.Whole);
});

/** Guards against refusals while a system that has served nobody before is young. */
t.test('an unknown stream goes on at once after the first start of the system', async (t) => {
  const first = await startStreamFleet(t, { pickVersion: () => 'v1', keepsHistory: true });
  const again = await startStreamFleet(t, { pickVersion: () => 'v1' });
  const [goesOn, isRefused] = [first, again].map((fleet) => {
    const caller = fleet.createCaller();
    caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
    return caller;
  });
  await first.clock.advance(500);
  await again.clock.advance(500);
  t.equal(goesOn?.state, StreamState.Whole);
  t.equal(isRefused?.state, StreamState.Refused);
});

/** Guards against messages that say what each host can infer. */
t.test(
  'hosts tell of streams once their servers run two versions, also of earlier ones',
  async (t) => {
    const fleet = await startStreamFleet(t, { pickVersion: () => 'v1', keepsHistory: true });
    const countTold = (): number =>
      fleet.hub.delivered.filter(({ message }) => message.type === PeerMessageType.StreamOrigins)
        .length;
    const host = fleet.pickHost();
    const caller = await fleet.beginStream(host);
    t.equal(countTold(), 0);
    fleet.startServer('s-9', 'v2');
    await fleet.clock.advance(100);
    t.ok(countTold() > 0);
    await fleet.kill(host);
    await fleet.takeUp(caller, fleet.pickHost());
    t.equal(caller.state, StreamState.Whole);
    t.notOk(caller.isMixed);
  },
);

/** Guards against a version that is inferred although a server of another one was there. */
t.test('an unknown stream is refused where another version came and went', async (t) => {
  const fleet = await startStreamFleet(t, { pickVersion: () => 'v1' });
  await fleet.clock.advance(35_000);
  fleet.startServer('s-9', 'v2');
  await fleet.clock.advance(100);
  fleet.endServer('s-9');
  await fleet.clock.advance(5_000);
  const caller = fleet.createCaller();
  caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
  await fleet.clock.advance(QUICK_MS);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
});

/** Guards against a server that another host has read of already, and this one has not. */
t.test('nothing is inferred before a read has confirmed which servers there were', async (t) => {
  const fleet = await startStreamFleet(t, { pickVersion: () => 'v1', hosts: 2 });
  await fleet.clock.advance(35_000);
  const [one, other] = fleet.hosts as [DirectHost, DirectHost];
  const held = other.feed.holdChanges();
  fleet.startServer('s-9', 'v2');
  fleet.hub.partition([one.peers.identity.id], [other.peers.identity.id]);
  const caller = fleet.createCaller();
  caller.send(other, { resumedRequestId: 'began elsewhere', lastEventId: '2' });
  await fleet.clock.advance(1_000);
  t.equal(caller.state, StreamState.Open);
  held.release();
  await fleet.clock.advance(QUICK_MS);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
});

/** Guards against a server that came and went in changes which a peer's update leaves out. */
t.test('nothing is inferred across changes that a peer has not sent', async (t) => {
  const fleet = await startStreamFleet(t, {
    pickVersion: () => 'v1',
    hosts: 2,
    keepsHistory: true,
  });
  const [one, other] = fleet.hosts as [DirectHost, DirectHost];
  const reader = new FollowerHarness(t);
  other.feed.listTexts().forEach(([key, text]) => reader.feed.put(key, text));
  const configuration = other.feed.getText('configuration');
  while (reader.feed.revision < other.feed.revision)
    reader.feed.put('configuration', configuration);
  reader.follower.start();
  await reader.clock.advance(1_000);
  fleet.hub.partition([one.peers.identity.id], [other.peers.identity.id]);
  [other, reader].forEach(({ feed }) => Object.assign(feed, { isDown: true }));
  await reader.clock.advance(1_000);
  await fleet.clock.advance(1_000);

  fleet.startServer('s-9', 'v2', [one, other, reader]);
  let caller: StreamCaller;
  do caller = await fleet.beginStream(one);
  while (fleet.findServer(caller) !== 's-9');
  fleet.endServer('s-9', [one, other, reader]);
  [other, reader].forEach(({ feed }) => feed.discardHistory());

  reader.feed.isDown = false;
  await reader.clock.advance(1_000);
  const { clock, follower } = other;
  const askedAt = { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
  const update = reader.updates.at(-1) as FeedUpdate;
  follower.applyUpdate(update, { askedAt, ageMs: 0, wasAway: true });
  other.feed.isDown = false;
  await fleet.clock.advance(1_000);
  await fleet.takeUp(caller, other);
  t.equal(caller.state, StreamState.Refused);
  t.same(new Set(caller.versions), new Set(['v2']));
});

/** Guards against confirmations that are dropped where the store names no era. */
t.test('a version is inferred at once beside a store that names no era', async (t) => {
  const fleet = await startStreamFleet(t, { pickVersion: () => 'v1' });
  await fleet.clock.advance(35_000);
  fleet.hosts.forEach(({ feed }) => Object.assign(feed, { namedEra: () => undefined }));
  const caller = fleet.createCaller();
  caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
  await fleet.clock.advance(500);
  t.equal(caller.state, StreamState.Whole);
});

/** Guards against a first error of the store that keeps a whole past unknown. */
t.test('the past is read although the first read of it fails', async (t) => {
  const read = FakeFeed.prototype.readChanges;
  const failed = new Set<FakeFeed>();
  t.teardown(() => Object.assign(FakeFeed.prototype, { readChanges: read }));
  FakeFeed.prototype.readChanges = function readOrFail(this: FakeFeed, prefix, after, waitMs) {
    if (after === 0 && !failed.has(this)) {
      failed.add(this);
      return Promise.reject(new Error('Cannot read the store: it answered with status 429'));
    }
    return read.call(this, prefix, after, waitMs);
  };
  const fleet = await startStreamFleet(t, { pickVersion: () => 'v1', keepsHistory: true });
  t.equal(failed.size, fleet.hosts.length);
  await fleet.clock.advance(5_000);
  const caller = fleet.createCaller();
  caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
  await fleet.clock.advance(500);
  t.equal(caller.state, StreamState.Whole);
});
