import t from 'tap';
import {
  buildServer,
  CLOSED_ZONES_PREFIX,
  startDirectHost,
} from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';

/** Of 32 requests a second, each of the eight hosts that may send to the server sends two. */
const WARMUP_LIMIT = { durationMs: 3_000, requestsPerSecond: 32 };

const SEND_INTERVAL_MS = 525;

/** Starts a host with one server that has many slots. */
async function startHostWithServer(
  t: Parameters<typeof startDirectHost>[0],
  warmupLeftMs: number,
): Promise<DirectHost> {
  const host = await startDirectHost(
    t,
    { warmup: WARMUP_LIMIT, route: { timeoutMs: 60_000, targetMs: 20_000 } },
    [],
  );
  host.feed.put('servers/s-1', buildServer('s-1', { slots: 100, warmupLeftMs }));
  await settle();
  return host;
}

function callMany(host: DirectHost, count: number): void {
  Array.from({ length: count }, () => host.call({ deadlineMs: 60_000 }));
}

t.test('a cold server is filled slowly until it is warm', async (t) => {
  // Guards against overloading servers right after their start.
  const host = await startHostWithServer(t, 3_000);
  callMany(host, 5);
  t.equal(host.backend.sent.length, 1);
  await host.clock.advance(SEND_INTERVAL_MS + 20);
  t.equal(host.backend.sent.length, 2);
  t.equal(host.servers.coldCount, 1);
  await host.clock.advance(3_000);
  t.equal(host.servers.coldCount, 0);
  const before = host.backend.sent.length;
  callMany(host, 20);
  t.equal(host.backend.sent.length, before + 20);
});

t.test('a server that turns cold again is slowed down as soon as its entry says so', async (t) => {
  const host = await startHostWithServer(t, 0);
  callMany(host, 4);
  t.equal(host.backend.sent.length, 4);
  host.feed.put('servers/s-1', buildServer('s-1', { slots: 100, warmupLeftMs: 2_500 }));
  await settle();
  callMany(host, 4);
  t.equal(host.backend.sent.length, 4);
  host.feed.put('servers/s-1', buildServer('s-1', { slots: 100, warmupLeftMs: 0 }));
  await settle();
  callMany(host, 4);
  t.equal(host.backend.sent.length >= 8, true);
});

t.test('servers of a reopened zone count as cold whatever their entries say', async (t) => {
  // Guards against servers that turned cold unnoticed: their entries report it one heartbeat later.
  const host = await startHostWithServer(t, 0);
  host.feed.put(`${CLOSED_ZONES_PREFIX}hall-a`, {});
  await settle();
  host.feed.remove(`${CLOSED_ZONES_PREFIX}hall-a`);
  await settle();
  callMany(host, 5);
  t.equal(host.backend.sent.length, 1);
  await host.clock.advance(WARMUP_LIMIT.durationMs);
  callMany(host, 5);
  t.equal(host.backend.sent.length >= 6, true);
});

t.test('a host that has not settled sends nothing to a cold server', async (t) => {
  // Guards against many hosts that start at the same time and each know only themselves.
  const host = await startHostWithServer(t, 3_000);
  host.isSettled = false;
  callMany(host, 3);
  t.equal(host.backend.sent.length, 0);
  host.isSettled = true;
  await host.clock.advance(50);
  t.equal(host.backend.sent.length, 1);
});

t.test('services without a warmup limit are filled at once', async (t) => {
  const host = await startDirectHost(t, {}, []);
  host.feed.put('servers/s-1', buildServer('s-1', { slots: 100, warmupLeftMs: 3_000 }));
  await settle();
  callMany(host, 5);
  t.equal(host.backend.sent.length, 5);
});
