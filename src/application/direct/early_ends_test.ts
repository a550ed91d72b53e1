/**
 * Tests that calls whose backend servers work on them are left alone by everything that only
 * concerns new ones.
 *
 * @module
 */
import t from 'tap';
import { GRACE_MS } from '../../../test/support/cut_cases.js';
import { CutFleet, CutMode } from '../../../test/support/cut_fleet.js';
import {
  buildDocument,
  buildServer,
  CLOSED_ZONES_PREFIX,
  startDirectHost,
} from '../../../test/support/direct_host.js';
import type { DirectHost, DocumentChanges } from '../../../test/support/direct_host.js';
import { NO_STATS } from '../../../test/support/server_registries.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { formatIncarnationId } from '../../domain/backend_servers/mod.js';
import { LimitUnit } from '../../domain/routing/mod.js';
import { BackendFailure } from '../../ports/mod.js';

const TEST_TIMEOUT_MS = 120_000;

const DEADLINE_MS = 20_000;

const STREAM = { isStream: true, timeoutMs: DEADLINE_MS, targetGapMs: 1_000 };

const EVENTS = [1, 2, 3, 4].map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');

function publish(host: DirectHost, changes: DocumentChanges): void {
  host.feed.put('configuration', buildDocument(2, changes));
}

/** What happens beside a call that runs at the server `s-1`. */
const CHANGES: Readonly<Record<string, (host: DirectHost) => unknown>> = {
  'its route is gone': (host) => publish(host, { route: { ...STREAM, prefix: '/b/' } }),
  'its route has moved': (host) => {
    publish(host, { route: { ...STREAM, services: [{ serviceId: 'others', weight: 1 }] } });
  },
  'its route allows less time': (host) => publish(host, { route: { ...STREAM, timeoutMs: 1 } }),
  'its key is revoked': (host) => publish(host, { route: STREAM, keys: ['key-b'] }),
  'its account may do less': (host) => {
    publish(host, {
      route: STREAM,
      limit: { unit: LimitUnit.Requests, ratePerSecond: 0.001, burst: 1, unitsOfUnsized: 1 },
    });
  },
  'its server leaves': (host) => {
    host.feed.put('servers/s-1', buildServer('s-1', { isLeaving: true }));
  },
  'its server has no entry any more': (host) => host.feed.remove('servers/s-1'),
  'its server is said to have ended': (host) => host.servers.recordEnded('s-1'),
  'a peer says that its server has ended': (host) => {
    host.servers.applyPeerStats('peer-1', { ...NO_STATS, endedServers: ['s-1'] });
  },
  'a peer says that its server leaves': (host) => {
    host.servers.applyPeerStats('peer-1', { ...NO_STATS, leavingServers: ['s-1'] });
  },
  'another call finds its address taken': (host) => {
    host.call();
    host.getSent(1).fail(BackendFailure.Misdirected);
  },
  'its zone is closed': (host) => host.feed.put(`${CLOSED_ZONES_PREFIX}hall-a`, {}),
  'this host refuses new calls': (host) => host.gateway.refuseNewCalls(),
};

for (const [change, apply] of Object.entries(CHANGES)) {
  t.test(`a stream goes on to its end when ${change}`, async (t) => {
    // Guards against answers that are ended for what concerns new calls only.
    const host = await startDirectHost(t, { route: STREAM }, ['s-1']);
    const reply = host.call({ deadlineMs: DEADLINE_MS });
    host.getSent(0).sendHead({ isEventStream: true });
    host.getSent(0).events(1, 2);
    apply(host);
    await settle();
    await host.clock.advance(1_000);
    host.getSent(0).events(3, 4);
    host.getSent(0).listener.onComplete();
    t.match(reply, { body: EVENTS, hasEnded: true, isAborted: false });
  });

  t.test(`a plain call that may run once is answered when ${change}`, async (t) => {
    // Guards against calls that are told that they may have run, just before their answer.
    const route = { ...STREAM, isStream: false };
    const host = await startDirectHost(t, { route }, ['s-1']);
    const reply = host.call({ deadlineMs: DEADLINE_MS });
    apply(host);
    await settle();
    await host.clock.advance(1_000);
    host.getSent(0).sendResponse();
    t.match(reply, { body: 'ok', hasEnded: true, error: undefined });
  });
}

t.test('a stream that flows is not ended by an entry that tells of a restart', async (t) => {
  // Guards against streams that are broken off on the word of an entry while their server sends.
  const host = await startDirectHost(t, { route: STREAM }, ['s-1']);
  const reply = host.call({ deadlineMs: DEADLINE_MS });
  host.getSent(0).sendHead({ isEventStream: true });
  host.getSent(0).events(1, 2);
  const changes = { serverId: 's-1', bornAtMs: 5 };
  host.feed.put('servers/s-1', buildServer(formatIncarnationId('s-1', 5), changes));
  await settle();
  host.getSent(0).events(3, 4);
  host.getSent(0).listener.onComplete();
  t.match(reply, { body: EVENTS, hasEnded: true, isAborted: false });
});

/** What happens at all hosts while streams of some go through peers. */
const FLEET_CHANGES: Readonly<Record<string, (host: DirectHost, fleet: CutFleet) => void>> = {
  'their route is gone': (host) => publish(host, { route: { ...STREAM, prefix: '/b/' } }),
  'their key is revoked': (host) => publish(host, { route: STREAM, keys: ['key-b'] }),
  'their servers leave': (host, { serverIds }) => {
    serverIds.forEach((id) => {
      const changes = { isLeaving: true, slots: 40, address: `${id}:80` };
      host.feed.put(`servers/${id}`, buildServer(id, changes));
    });
  },
};

for (const [change, apply] of Object.entries(FLEET_CHANGES)) {
  t.test(`streams that go through peers end whole when ${change}`, async (t) => {
    // Guards against peers that end what they send for others for what concerns new requests only.
    t.setTimeout(TEST_TIMEOUT_MS);
    for (const hosts of [6, 13]) {
      const fleet = new CutFleet(t, {
        hosts,
        servers: 12,
        slots: 40,
        route: STREAM,
        runMs: 6_000,
        events: 20,
      });
      const request = { deadlineMs: DEADLINE_MS };
      await fleet.start();
      fleet.cut(['h-1', 'h-4'], CutMode.Reset);
      const load = { callsPerSecond: 20, durationMs: GRACE_MS, request };
      await fleet.run(load);
      const fromMs = fleet.clock.nowMs();
      await fleet.run(load);
      const untilMs = fleet.clock.nowMs();
      await fleet.clock.advance(500);
      fleet.hosts.forEach((host) => apply(host, fleet));
      await fleet.clock.advance(DEADLINE_MS);
      const { served, sent } = fleet.measureServed(['h-1', 'h-4'], fromMs, untilMs);
      t.ok(sent > 0);
      t.equal(served, sent, `${hosts} hosts: ${served} of ${sent} streams`);
    }
  });
}
