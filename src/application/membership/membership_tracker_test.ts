import t from 'tap';
import { Tier } from '../../domain/scheduling/tier.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { FakePlatform } from '../../../test/support/fake_platform.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import {
  HEARTBEAT_MS,
  publishBackendServer,
  publishEntryHost,
  startWorld,
  SUSPECT_AFTER_MS,
  TestHost,
} from './_test_hosts.js';

const KEYS = Array.from({ length: 40 }, (_item, index) => `service/${index}`);
const DETECTION_MS = SUSPECT_AFTER_MS + 2 * HEARTBEAT_MS;
const HOUR_MS = 3_600_000;

function listResponsible(host: TestHost): readonly string[] {
  return KEYS.map((key) => host.membership.pickResponsible(key).id);
}

t.test('MembershipTracker finds all peers, and all agree on who is responsible', async (t) => {
  const { hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  hosts.forEach((host) => {
    t.same(host.listStates(), { a: 'live', b: 'live', c: 'live' });
    t.same(host.membership.listKnownIds(), ['a', 'b', 'c']);
    t.ok(host.membership.isFresh());
  });
  t.same(listResponsible(a), listResponsible(b));
  t.same(listResponsible(a), listResponsible(c));
  t.equal(new Set(listResponsible(a)).size, 3);
  t.same(a.peers.addresses, ['ws://b.test', 'ws://c.test']);
  t.equal(a.membership.findEntryHost('b')?.identity.incarnation, 'b-1');
});

t.test('MembershipTracker passes the content of heartbeats to handlers', async (t) => {
  const { clock, hosts } = await startWorld(t);
  const [a, b] = hosts;
  const received: unknown[] = [];
  b.membership.onPeerConfiguration((...args) => received.push(args));
  b.membership.onGroupLoads((incarnation, groups) => received.push([incarnation, groups.length]));
  a.configuration = { revision: 7, hash: 'bb' };
  a.groups = [{ groupId: 'service/0', waitMs: [0, 1, 2], openTier: Tier.Batch }];
  await clock.advance(HEARTBEAT_MS);
  t.match(received, [
    ['a-1', 7, 'bb'],
    ['a-1', 1],
  ]);
});

t.test('MembershipTracker detects a silent link in time and replaces it', async (t) => {
  // Guards against requests that wait for an owner whose link no longer delivers
  // messages: the link falls silent without being closed, and sends still succeed. A
  // closed socket must not be the only sign of a lost peer.
  const { clock, hub, hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  const before = listResponsible(c);
  hub.silence('a', 'b');
  hub.silence('b', 'c');
  await clock.advance(SUSPECT_AFTER_MS - HEARTBEAT_MS);
  t.equal(a.listStates().b, 'live', 'not suspected before the timeout');
  await clock.advance(DETECTION_MS - SUSPECT_AFTER_MS + HEARTBEAT_MS);
  t.same(a.listStates(), { a: 'live', b: 'suspected', c: 'live' });
  t.same([...a.peers.replaced], ['b-1']);
  t.same(listResponsible(a), listResponsible(c));
  KEYS.forEach((_key, index) => {
    if (before[index] !== 'b') t.equal(listResponsible(a)[index], before[index]);
  });
  t.equal(b.listStates().a, 'suspected');
  hub.heal('a', 'b');
  await clock.advance(HEARTBEAT_MS);
  t.equal(a.listStates().b, 'live');
});

t.test('MembershipTracker keeps both sides of a partition working', async (t) => {
  const { clock, hub, hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  hub.partition(['a'], ['b', 'c']);
  await clock.advance(DETECTION_MS);
  t.same(a.listStates(), { a: 'live', b: 'suspected', c: 'suspected' });
  t.same(b.listStates(), { b: 'live', a: 'suspected', c: 'live' });
  t.ok(listResponsible(a).every((id) => id === 'a'));
  t.same(listResponsible(b), listResponsible(c));
  hosts.forEach((host) => t.same(host.membership.listKnownIds(), ['a', 'b', 'c']));
  t.ok(a.membership.findIncarnation('b-1'), 'a suspected peer is not removed');
  hub.healAll();
  await clock.advance(2 * HEARTBEAT_MS);
  t.same(listResponsible(a), listResponsible(b));
});

t.test('MembershipTracker works by heartbeats alone when the host list is down', async (t) => {
  const world = await startWorld(t);
  const { clock, platform, hosts } = world;
  const [a] = hosts;
  platform.setDown(true);
  const readsBefore = platform.readCount;
  await clock.advance(60_000);
  const reads = platform.readCount - readsBefore;
  t.ok(reads < 3 * 40, `${reads} reads in a minute`);
  const unlisted = new TestHost(world, buildIdentity('d'));
  t.teardown(() => unlisted.membership.stop());
  await clock.advance(HEARTBEAT_MS);
  t.equal(a.listStates().d, 'live', 'linked although it was never listed');
  t.same(unlisted.listStates(), { a: 'live', b: 'live', c: 'live', d: 'live' });
  t.ok(unlisted.membership.isFresh());
  t.same(listResponsible(a), listResponsible(unlisted));
});

t.test('isFresh() is false after a pause until a reply to a later heartbeat', async (t) => {
  // Guards against a resumed process that sends work to a backend server which left
  // during the pause: the process is frozen after it sent heartbeats, and their replies
  // wait in its buffers. Replies from before the pause must not confirm the view.
  const { clock, platform, hosts } = await startWorld(t);
  const [a, b] = hosts;
  platform.setDown(true);
  a.membership.setStopping();
  a.gate.freeze();
  await clock.advance(10_000);
  t.equal(b.listStates().a, 'suspected');
  a.gate.thaw();
  t.equal(a.membership.isFresh(), false, 'only replies from before the pause were read');
  t.equal(a.listStates().b, 'live', 'the paused process was this one');
  await clock.advance(0);
  t.ok(a.membership.isFresh());
  t.equal(b.listStates().a, 'leaving');
});

t.test('isFresh() detects a pause before the next tick', async (t) => {
  const { clock, hosts } = await startWorld(t);
  const [a] = hosts;
  a.gate.freeze();
  await clock.advance(10_000);
  t.equal(a.membership.isFresh(), false);
});

t.test('isFresh() is true again after a list read started after the pause', async (t) => {
  const { clock, hub, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  hub.partition(['a'], ['b', 'c']);
  a.reader.isSilent = true;
  await clock.advance(30_000);
  a.gate.freeze();
  publishBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(10_000);
  a.gate.thaw();
  await clock.advance(HEARTBEAT_MS);
  t.equal(a.membership.isFresh(), false, 'nobody answers');
  a.reader.isSilent = false;
  await clock.advance(20_000);
  t.ok(a.membership.isFresh());
  t.ok(a.membership.isBackendServerLeaving('engine-1'));
});

t.test('isFresh() becomes true after the start timeout if nobody is reachable', async (t) => {
  const clock = new VirtualClock();
  const platform = new FakePlatform(clock);
  platform.setDown(true);
  const alone = new TestHost({ clock, hub: new FakePeerHub(), platform }, buildIdentity('a'));
  t.teardown(() => alone.membership.stop());
  await clock.advance(1_000);
  t.equal(alone.membership.isFresh(), false);
  await clock.advance(2_000);
  t.ok(alone.membership.isFresh());
  t.equal(alone.membership.pickResponsible('key').id, 'a');
});

t.test('A leaving backend server is announced at once, whatever the list says', async (t) => {
  // Guards against new work for a draining backend server while the host list lags: one
  // entry host learns of it from a load report or a refusal, and the others must not
  // wait for the list.
  const { clock, hub, platform, hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  hub.cut('a', 'c');
  const changesBefore = b.changes;
  a.membership.recordBackendServerLeaving('engine-1');
  await clock.advance(0);
  t.ok(b.membership.isBackendServerLeaving('engine-1'));
  t.equal(b.changes, changesBefore + 1);
  t.equal(
    c.membership.isBackendServerLeaving('engine-1'),
    false,
    'cut off from the host that knows',
  );
  hub.heal('a', 'c');
  await clock.advance(0);
  t.ok(c.membership.isBackendServerLeaving('engine-1'), 'notified over the new link');
  publishBackendServer(platform, 'engine-2');
  await a.stop();
  await clock.advance(5_000);
  t.ok(
    c.membership.isBackendServerLeaving('engine-1'),
    'the list still lags, and the reporting host is dead',
  );
  publishBackendServer(platform, 'engine-1');
  await clock.advance(5_000);
  hosts.slice(1).forEach((host) => t.notOk(host.membership.isBackendServerLeaving('engine-1')));
});

t.test('MembershipTracker learns of leaving backend servers from a newer list', async (t) => {
  // Guards against an entry host that keeps using a backend server which all others
  // avoid: its host list is unreachable or lags, while its peers read a newer one. It
  // must not rely on its own reads alone.
  const world = await startWorld(t);
  const { clock, platform } = world;
  const lagging = new FakePlatform(clock);
  publishBackendServer(lagging, 'engine-1');
  const late = new TestHost({ ...world, platform: lagging }, buildIdentity('d'));
  t.teardown(() => late.membership.stop());
  await clock.advance(HEARTBEAT_MS);
  publishBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(1_000);
  t.ok(late.membership.isBackendServerLeaving('engine-1'));
  await clock.advance(30_000);
  t.ok(late.membership.isBackendServerLeaving('engine-1'));
  publishBackendServer(platform, 'engine-1');
  await clock.advance(2_000);
  t.notOk(late.membership.isBackendServerLeaving('engine-1'));
});

t.test('setStopping() is announced to all peers at once', async (t) => {
  const { clock, hosts } = await startWorld(t);
  const [a, b] = hosts;
  a.membership.setStopping();
  await clock.advance(0);
  t.same(b.listStates(), { a: 'leaving', b: 'live', c: 'live' });
  t.ok(a.membership.isStopping());
  t.notOk(listResponsible(b).includes('a'));
  t.same(listResponsible(a), listResponsible(b));
});

t.test('MembershipTracker replaces the old incarnation at once after a restart', async (t) => {
  // Guards against requests to a process that no longer exists: an entry host is listed
  // as leaving, exits, and restarts with the same ID. The ID must not stand for the
  // process, nor the old list entry for the new incarnation.
  const world = await startWorld(t);
  const { clock, hub, platform, hosts } = world;
  const [a, b] = hosts;
  publishEntryHost(platform, b.identity, 'leaving');
  await clock.advance(1_000);
  t.equal(a.listStates().b, 'leaving');
  hub.silence('a', 'b');
  hub.networks.delete(b.peers);
  b.membership.stop();
  hub.heal('a', 'b');
  const again = new TestHost(world, buildIdentity('b', 'b-2'));
  t.teardown(() => again.membership.stop());
  await clock.advance(0);
  t.equal(a.membership.findIncarnation('b-1'), undefined);
  t.equal(a.membership.findEntryHost('b')?.identity.incarnation, 'b-2');
  t.equal(a.listStates().b, 'live', 'the list entry refers to the old incarnation');
  t.ok(a.peers.replaced.includes('b-1'), 'the old link may be half-open');
  publishEntryHost(platform, again.identity, 'leaving');
  await clock.advance(2_000);
  t.equal(a.listStates().b, 'leaving', 'the list entry refers to the new incarnation');
});

t.test('MembershipTracker removes an unlisted peer long after it fell silent', async (t) => {
  const world = await startWorld(t);
  const { clock, hosts } = world;
  const [a] = hosts;
  const unlisted = new TestHost(world, buildIdentity('d'));
  await clock.advance(HEARTBEAT_MS);
  await unlisted.stop();
  await clock.advance(DETECTION_MS);
  t.equal(a.listStates().d, 'suspected');
  t.ok(a.membership.listKnownIds().includes('d'), 'a peer that may return stays known');
  a.gate.freeze();
  await clock.advance(HOUR_MS);
  a.gate.thaw();
  await clock.advance(DETECTION_MS);
  t.equal(a.membership.findIncarnation('d-1'), undefined);
  t.same(a.membership.listKnownIds(), ['a', 'b', 'c']);
});
