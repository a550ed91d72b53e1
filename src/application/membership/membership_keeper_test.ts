import t from 'tap';
import { Tier } from '../../domain/scheduling/tier.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { FakePlatform } from '../../../test/support/fake_platform.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import {
  HEARTBEAT_MS,
  listBackendServer,
  listEntryHost,
  startWorld,
  SUSPECT_MS,
  TestHost,
} from './_test_hosts.js';

const KEYS = Array.from({ length: 40 }, (_item, index) => `service/${index}`);
const NOTICE_MS = SUSPECT_MS + 2 * HEARTBEAT_MS;
const HOUR_MS = 3_600_000;

function listResponsible(host: TestHost): readonly string[] {
  return KEYS.map((key) => host.keeper.pickResponsible(key).id);
}

t.test('MembershipKeeper finds the others, and all agree on who is responsible', async (t) => {
  const { hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  hosts.forEach((host) => {
    t.same(host.listStates(), { a: 'live', b: 'live', c: 'live' });
    t.same(host.keeper.listListedIds(), ['a', 'b', 'c']);
    t.ok(host.keeper.isFresh());
  });
  t.same(listResponsible(a), listResponsible(b));
  t.same(listResponsible(a), listResponsible(c));
  t.equal(new Set(listResponsible(a)).size, 3);
  t.same(a.peers.addresses, ['ws://b.test', 'ws://c.test']);
  t.equal(a.keeper.findEntryHost('b')?.identity.incarnation, 'b-1');
});

t.test('MembershipKeeper hands on what heartbeats carry', async (t) => {
  const { clock, hosts } = await startWorld(t);
  const [a, b] = hosts;
  const heard: unknown[] = [];
  b.keeper.onPeerConfiguration((...told) => heard.push(told));
  b.keeper.onGroupLoads((incarnation, groups) => heard.push([incarnation, groups.length]));
  a.configuration = { revision: 7, hash: 'bb' };
  a.groups = [{ groupId: 'service/0', waitMs: [0, 1, 2], openTier: Tier.Batch }];
  await clock.advance(HEARTBEAT_MS);
  t.match(heard, [
    ['a-1', 7, 'bb'],
    ['a-1', 1],
  ]);
});

t.test('MembershipKeeper notices a silent link in time and has it replaced', async (t) => {
  // Symptom: requests wait for an owner whose link carries nothing any more.
  // Sequence: the link goes silent without being closed; sends go on to succeed.
  // Cause: only a closed socket counts as a lost peer.
  const { clock, hub, hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  const before = listResponsible(c);
  hub.silence('a', 'b');
  hub.silence('b', 'c');
  await clock.advance(SUSPECT_MS - HEARTBEAT_MS);
  t.equal(a.listStates().b, 'live', 'not before its time');
  await clock.advance(NOTICE_MS - SUSPECT_MS + HEARTBEAT_MS);
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

t.test('MembershipKeeper keeps both sides of a partition going', async (t) => {
  const { clock, hub, hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  hub.partition(['a'], ['b', 'c']);
  await clock.advance(NOTICE_MS);
  t.same(a.listStates(), { a: 'live', b: 'suspected', c: 'suspected' });
  t.same(b.listStates(), { b: 'live', a: 'suspected', c: 'live' });
  t.ok(listResponsible(a).every((id) => id === 'a'));
  t.same(listResponsible(b), listResponsible(c));
  hosts.forEach((host) => t.same(host.keeper.listListedIds(), ['a', 'b', 'c']));
  t.ok(a.keeper.findIncarnation('b-1'), 'suspected is not gone');
  hub.healAll();
  await clock.advance(2 * HEARTBEAT_MS);
  t.same(listResponsible(a), listResponsible(b));
});

t.test('MembershipKeeper goes on by heartbeats alone when the host list is down', async (t) => {
  const world = await startWorld(t);
  const { clock, platform, hosts } = world;
  const [a] = hosts;
  platform.setDown(true);
  const readsBefore = platform.readCount;
  await clock.advance(60_000);
  const reads = platform.readCount - readsBefore;
  t.ok(reads < 3 * 40, `${reads} reads in a minute`);
  const unlisted = new TestHost(world, buildIdentity('d'));
  t.teardown(() => unlisted.keeper.stop());
  await clock.advance(HEARTBEAT_MS);
  t.equal(a.listStates().d, 'live', 'linked, though never listed');
  t.same(unlisted.listStates(), { a: 'live', b: 'live', c: 'live', d: 'live' });
  t.ok(unlisted.keeper.isFresh());
  t.same(listResponsible(a), listResponsible(unlisted));
});

t.test('isFresh() is false after a pause, until a reply to a later heartbeat came', async (t) => {
  // Symptom: a woken process gives work to a backend server that left meanwhile.
  // Sequence: frozen after it sent heartbeats; woken; the replies wait in its buffers.
  // Cause: answers from before the pause are taken for a confirmation.
  const { clock, platform, hosts } = await startWorld(t);
  const [a, b] = hosts;
  platform.setDown(true);
  a.keeper.setStopping();
  a.gate.freeze();
  await clock.advance(10_000);
  t.equal(b.listStates().a, 'suspected');
  a.gate.thaw();
  t.equal(a.keeper.isFresh(), false, 'all that was read are replies from before');
  t.equal(a.listStates().b, 'live', 'it was this process that stood still');
  await clock.advance(0);
  t.ok(a.keeper.isFresh());
  t.equal(b.listStates().a, 'leaving');
});

t.test('isFresh() sees a pause before the tick does', async (t) => {
  const { clock, hosts } = await startWorld(t);
  const [a] = hosts;
  a.gate.freeze();
  await clock.advance(10_000);
  t.equal(a.keeper.isFresh(), false);
});

t.test('isFresh() is true again after a list read that was begun after the wake', async (t) => {
  const { clock, hub, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  hub.partition(['a'], ['b', 'c']);
  a.reader.isSilent = true;
  await clock.advance(30_000);
  a.gate.freeze();
  listBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(10_000);
  a.gate.thaw();
  await clock.advance(HEARTBEAT_MS);
  t.equal(a.keeper.isFresh(), false, 'nobody answers');
  a.reader.isSilent = false;
  await clock.advance(20_000);
  t.ok(a.keeper.isFresh());
  t.ok(a.keeper.isBackendServerLeaving('engine-1'));
});

t.test('isFresh() does not wait for ever at a start with nobody in reach', async (t) => {
  const clock = new VirtualClock();
  const platform = new FakePlatform(clock);
  platform.setDown(true);
  const alone = new TestHost({ clock, hub: new FakePeerHub(), platform }, buildIdentity('a'));
  t.teardown(() => alone.keeper.stop());
  await clock.advance(1_000);
  t.equal(alone.keeper.isFresh(), false);
  await clock.advance(2_000);
  t.ok(alone.keeper.isFresh());
  t.equal(alone.keeper.pickResponsible('key').id, 'a');
});

t.test('noteBackendServerLeaving() reaches all at once, whatever the list says', async (t) => {
  // Symptom: a backend server that leaves gets new work for as long as the list lags.
  // Sequence: one entry host meets a load report or refusal that says so.
  // Cause: the others wait for the list.
  const { clock, hub, platform, hosts } = await startWorld(t);
  const [a, b, c] = hosts;
  hub.cut('a', 'c');
  const changesBefore = b.changes;
  a.keeper.noteBackendServerLeaving('engine-1');
  await clock.advance(0);
  t.ok(b.keeper.isBackendServerLeaving('engine-1'));
  t.equal(b.changes, changesBefore + 1);
  t.equal(c.keeper.isBackendServerLeaving('engine-1'), false, 'cut from the one that knows');
  hub.heal('a', 'c');
  await clock.advance(0);
  t.ok(c.keeper.isBackendServerLeaving('engine-1'), 'told with the new link');
  listBackendServer(platform, 'engine-2');
  await a.end();
  await clock.advance(5_000);
  t.ok(c.keeper.isBackendServerLeaving('engine-1'), 'the list still lags, the teller is dead');
  listBackendServer(platform, 'engine-1');
  await clock.advance(5_000);
  hosts.slice(1).forEach((host) => t.notOk(host.keeper.isBackendServerLeaving('engine-1')));
});

t.test('MembershipKeeper hears of leaving backend servers from a peer’s newer list', async (t) => {
  // Symptom: one entry host goes on to use a backend server that all others avoid.
  // Sequence: its host list is cut off or lags; the others read the newer one.
  // Cause: each trusts its own reads alone.
  const world = await startWorld(t);
  const { clock, platform } = world;
  const lagging = new FakePlatform(clock);
  listBackendServer(lagging, 'engine-1');
  const late = new TestHost({ ...world, platform: lagging }, buildIdentity('d'));
  t.teardown(() => late.keeper.stop());
  await clock.advance(HEARTBEAT_MS);
  listBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(1_000);
  t.ok(late.keeper.isBackendServerLeaving('engine-1'));
  await clock.advance(30_000);
  t.ok(late.keeper.isBackendServerLeaving('engine-1'));
  listBackendServer(platform, 'engine-1');
  await clock.advance(2_000);
  t.notOk(late.keeper.isBackendServerLeaving('engine-1'));
});

t.test('setStopping() is known to all peers at once', async (t) => {
  const { clock, hosts } = await startWorld(t);
  const [a, b] = hosts;
  a.keeper.setStopping();
  await clock.advance(0);
  t.same(b.listStates(), { a: 'leaving', b: 'live', c: 'live' });
  t.ok(a.keeper.isStopping());
  t.notOk(listResponsible(b).includes('a'));
  t.same(listResponsible(a), listResponsible(b));
});

t.test('MembershipKeeper replaces the old incarnation at once after a restart', async (t) => {
  // Symptom: requests are sent to a process that no longer exists.
  // Sequence: an entry host is listed as leaving, ends, and starts again under its name.
  // Cause: the name is taken for the process, or the list's old word for a new one.
  const world = await startWorld(t);
  const { clock, hub, platform, hosts } = world;
  const [a, b] = hosts;
  listEntryHost(platform, b.identity, 'leaving');
  await clock.advance(1_000);
  t.equal(a.listStates().b, 'leaving');
  hub.silence('a', 'b');
  hub.networks.delete(b.peers);
  b.keeper.stop();
  hub.heal('a', 'b');
  const again = new TestHost(world, buildIdentity('b', 'b-2'));
  t.teardown(() => again.keeper.stop());
  await clock.advance(0);
  t.equal(a.keeper.findIncarnation('b-1'), undefined);
  t.equal(a.keeper.findEntryHost('b')?.identity.incarnation, 'b-2');
  t.equal(a.listStates().b, 'live', 'the list speaks of the old one');
  t.ok(a.peers.replaced.includes('b-1'), 'the old link may hang half open');
  listEntryHost(platform, again.identity, 'leaving');
  await clock.advance(2_000);
  t.equal(a.listStates().b, 'leaving', 'now it speaks of the new one');
});

t.test('MembershipKeeper forgets an unlisted peer long after it fell silent', async (t) => {
  const world = await startWorld(t);
  const { clock, hosts } = world;
  const [a] = hosts;
  const unlisted = new TestHost(world, buildIdentity('d'));
  await clock.advance(HEARTBEAT_MS);
  await unlisted.end();
  await clock.advance(NOTICE_MS);
  t.equal(a.listStates().d, 'suspected');
  t.ok(a.keeper.listListedIds().includes('d'), 'it counts while it may come back');
  a.gate.freeze();
  await clock.advance(HOUR_MS);
  a.gate.thaw();
  await clock.advance(NOTICE_MS);
  t.equal(a.keeper.findIncarnation('d-1'), undefined);
  t.same(a.keeper.listListedIds(), ['a', 'b', 'c']);
});
