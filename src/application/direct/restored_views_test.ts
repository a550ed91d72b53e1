import t from 'tap';
import type { Test } from 'tap';
import {
  buildDocument,
  buildServer,
  CLOSED_ZONES_PREFIX,
  DirectHost,
  startDirectHost,
} from '../../../test/support/direct_host.js';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { formatIncarnationId } from '../../domain/backend_servers/mod.js';
import { ErrorKind } from '../../domain/errors/mod.js';

/** Time within which a host notices that the store has come back, in milliseconds. */
const NOTICE_MS = 500;

/** Brings the store back from a copy that lacks what a callback writes. */
async function restoreWithout(host: DirectHost, write: () => void): Promise<void> {
  const copy = host.feed.copy();
  write();
  await host.clock.advance(NOTICE_MS);
  host.feed.restore(copy);
  await host.clock.advance(NOTICE_MS);
}

function publish(host: DirectHost, version: number, key = 'key-a'): void {
  host.feed.put('configuration', buildDocument(version, { keys: [key] }));
}

// Guards against a revoked key that is accepted again since a copy lacks its revocation.
t.test('no version goes back when a copy lacks it, and its age is not renewed', async (t) => {
  const host = await startDirectHost(t);
  await restoreWithout(host, () => publish(host, 2, 'key-b'));
  t.equal(host.routing.table?.version, 2);
  await host.clock.advance(4_000);
  t.ok(host.routing.computeAgeMs() >= 4_000, String(host.routing.computeAgeMs()));
  t.equal(host.gateway.isServing, false);
  publish(host, 2, 'key-b');
  await settle();
  t.equal(host.routing.table?.version, 2);
  t.ok(host.routing.computeAgeMs() <= 2_000, String(host.routing.computeAgeMs()));
  publish(host, 3);
  await settle();
  t.equal(host.routing.table?.version, 3);
});

t.test('a copy that holds the version in effect confirms it at once', async (t) => {
  const host = await startDirectHost(t);
  await restoreWithout(host, () => host.feed.put('other', 1));
  await host.clock.advance(4_000);
  t.ok(host.routing.computeAgeMs() <= 2_000, String(host.routing.computeAgeMs()));
});

/** Starts two entry hosts that report to each other, each with a store of its own. */
async function startPair(t: Test): Promise<readonly [DirectHost, DirectHost]> {
  const shared = {
    clock: new VirtualClock(),
    hub: new FakePeerHub(true),
    seeds: ['ws://h-1.test'],
  };
  const hosts = ['h-1', 'h-2'].map(
    (id) => new DirectHost({ ...shared, identity: buildIdentity(id, `${id}-1`) }),
  ) as [DirectHost, DirectHost];
  t.teardown(() => hosts.forEach((host) => host.stop()));
  const [first, second] = hosts;
  await first.start();
  publish(first, 2, 'key-b');
  await shared.clock.advance(1_000);
  await second.start();
  await shared.clock.advance(2_000);
  return hosts;
}

// Guards against a revoked key that is accepted by a host that starts from the copy.
t.test('a host that starts from a copy accepts no key while a peer knows more', async (t) => {
  const [, started] = await startPair(t);
  t.equal(started.routing.table?.version, 1);
  await started.clock.advance(3_000);
  t.equal(started.gateway.isServing, false);
  t.equal(started.call().error?.kind, ErrorKind.EntryHostCutOff);
  publish(started, 2, 'key-b');
  await started.clock.advance(10);
  t.equal(started.gateway.isServing, true);
});

// Guards against work for a server that left without a word, and that a copy lists again.
t.test('a server that was removed stays unused when a copy lists it, for a while', async (t) => {
  const host = await startDirectHost(t);
  await restoreWithout(host, () => host.feed.remove('servers/s-1'));
  t.equal(host.servers.isUsable('s-1'), false);
  t.same(host.servers.listEndedIds(), []);
  await host.clock.advance(4_000);
  t.equal(host.servers.isUsable('s-1'), false);
  await host.clock.advance(1_500);
  t.equal(host.servers.isUsable('s-1'), true, 'a server that is gone would have lost its entry');
});

// Guards against the same where the entry lapsed with an outage, shortly before another restore.
t.test('a server that lapsed and did not return stays unused when a copy lists it', async (t) => {
  const host = await startDirectHost(t);
  const copy = host.feed.copy();
  host.feed.isDown = true;
  await host.clock.advance(1_000);
  host.feed.isDown = false;
  host.feed.remove('servers/s-1');
  await host.clock.advance(3_000);
  t.equal(host.servers.isUsable('s-1'), false);
  host.feed.restore(copy);
  await host.clock.advance(NOTICE_MS);
  t.equal(host.servers.isUsable('s-1'), false);
});

t.test('a server that was removed is used at once when it is written again', async (t) => {
  const host = await startDirectHost(t);
  await restoreWithout(host, () => host.feed.remove('servers/s-1'));
  host.feed.put('servers/s-1', buildServer('s-1'));
  await settle();
  t.equal(host.servers.isUsable('s-1'), true);
});

t.test('a server that said it leaves stays unused when a copy says it is ready', async (t) => {
  const host = await startDirectHost(t);
  await restoreWithout(host, () =>
    host.feed.put('servers/s-1', buildServer('s-1', { isLeaving: true })),
  );
  await host.clock.advance(10_000);
  t.equal(host.servers.isUsable('s-1'), false);
});

t.test('a server that a copy lacks is used until it may have written itself again', async (t) => {
  const host = await startDirectHost(t);
  await restoreWithout(host, () => host.feed.put('servers/s-3', buildServer('s-3')));
  t.equal(host.servers.isUsable('s-3'), true);
  await host.clock.advance(1_500);
  t.equal(host.servers.isUsable('s-3'), false);
  host.feed.put('servers/s-3', buildServer('s-3'));
  await settle();
  t.equal(host.servers.isUsable('s-3'), true);
});

// Guards against work for a zone that operators have closed, since a copy lacks the closure.
t.test('a zone that was closed stays closed when a copy lacks that, for a while', async (t) => {
  const host = await startDirectHost(t);
  const key = `${CLOSED_ZONES_PREFIX}hall-a`;
  await restoreWithout(host, () => host.feed.put(key, {}));
  await host.clock.advance(4_000);
  t.equal(host.servers.isUsable('s-1'), false);
  await host.clock.advance(2_500);
  t.equal(host.servers.isUsable('s-1'), true, 'the closure was not written again');
});

t.test('a zone that was closed is opened at once when that is written again', async (t) => {
  const host = await startDirectHost(t);
  const key = `${CLOSED_ZONES_PREFIX}hall-a`;
  await restoreWithout(host, () => host.feed.put(key, {}));
  host.feed.put(key, {});
  await host.clock.advance(8_000);
  t.equal(host.servers.isUsable('s-1'), false);
  host.feed.remove(key);
  await settle();
  t.equal(host.servers.isUsable('s-1'), true);
});

function register(host: DirectHost, bornAtMs: number): string {
  const id = formatIncarnationId('s-9', bornAtMs);
  host.feed.put('servers/s-9', buildServer(id, { serverId: 's-9', bornAtMs }));
  return id;
}

// Guards against work for a former process of a server, which a copy lists as ready.
t.test('a former incarnation that a copy lists stays unused', async (t) => {
  const host = await startDirectHost(t);
  const former = register(host, 100);
  let current = '';
  await restoreWithout(host, () => {
    current = register(host, 200);
  });
  t.equal(host.servers.isUsable(former), false);
  await host.clock.advance(10_000);
  t.equal(host.servers.isUsable(former), false);
  register(host, 200);
  await settle();
  t.equal(host.servers.isUsable(current), true);
});

// Guards against a live server that nobody uses, since its start looks older than its former one.
t.test('a server that restarts with its clock set back is used again', async (t) => {
  const host = await startDirectHost(t);
  register(host, 200);
  await host.clock.advance(1_000);
  const current = register(host, 100);
  await host.clock.advance(10_000);
  t.equal(host.servers.isUsable(current), true);
});
