import t from 'tap';
import {
  buildServer,
  CLOSED_ZONES_PREFIX,
  startDirectHost,
} from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { ErrorKind } from '../../domain/errors/mod.js';

/** Starts a host with one backend server in each of two zones. */
async function startInTwoZones(t: Parameters<typeof startDirectHost>[0]): Promise<DirectHost> {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.feed.put('servers/s-2', buildServer('s-2', { availabilityZone: 'hall-b' }));
  await settle();
  return host;
}

function closeZone(host: DirectHost, zone: string, value: unknown = {}): Promise<void> {
  host.feed.put(`${CLOSED_ZONES_PREFIX}${zone}`, value);
  return settle();
}

function openZone(host: DirectHost, zone: string): Promise<void> {
  host.feed.remove(`${CLOSED_ZONES_PREFIX}${zone}`);
  return settle();
}

function listIds(host: DirectHost): string[] {
  return host.servers.listCandidates('engines').map(({ id }) => id);
}

t.test('a closed zone gets no calls until it is reopened', async (t) => {
  // Guards against sending work to servers that operators have evacuated.
  const host = await startInTwoZones(t);
  await closeZone(host, 'hall-a');
  t.same(listIds(host), ['s-2']);
  t.notOk(host.servers.isUsable('s-1'));
  host.call();
  t.equal(host.getSent(0).request.serverId, 's-2');
  await openZone(host, 'hall-a');
  t.same(listIds(host), ['s-1', 's-2']);
  t.ok(host.log.lines.some(({ event }) => event === 'zone_closed'));
  t.ok(host.log.lines.some(({ event }) => event === 'zone_opened'));
});

t.test('zones close and open independently, and repeatedly within a short time', async (t) => {
  const host = await startInTwoZones(t);
  await closeZone(host, 'hall-a');
  await closeZone(host, 'hall-b');
  t.same(listIds(host), []);
  t.equal(host.storeView.places.closedCount, 2);
  await openZone(host, 'hall-b');
  await closeZone(host, 'hall-b');
  await openZone(host, 'hall-a');
  t.same(listIds(host), ['s-1']);
});

t.test(
  'an unreadable closure closes its zone, and one without a name changes nothing',
  async (t) => {
    // Guards against reopening a closed zone because its entry is unclear.
    const host = await startInTwoZones(t);
    await closeZone(host, 'hall-a', 'no object');
    await closeZone(host, '');
    t.same(listIds(host), ['s-2']);
    t.ok(host.log.lines.some(({ event }) => event === 'zone_closure_refused'));
    await closeZone(host, 'nowhere');
    t.same(listIds(host), ['s-2']);
  },
);

t.test('a host that starts while a zone is closed sends nothing there', async (t) => {
  const host = await startDirectHost(t, {}, []);
  host.stop();
  const late = await startDirectHost(t, {}, []);
  late.feed.put(`${CLOSED_ZONES_PREFIX}hall-a`, {});
  late.feed.put('servers/s-1', buildServer('s-1'));
  await settle();
  t.same(listIds(late), []);
});

t.test('a zone that was reopened in a gap of the change history is open', async (t) => {
  const host = await startInTwoZones(t);
  await closeZone(host, 'hall-a');
  host.storeView.applySnapshot(
    [{ key: 'servers/s-1', value: Buffer.from(JSON.stringify(buildServer('s-1'))), revision: 9 }],
    { askedAt: { steadyMs: 0, wallMs: 0 }, ageMs: 0, wasAway: false, isRestored: false },
  );
  t.same(listIds(host), ['s-1']);
});

t.test('servers of a closed zone are not reported as ended', async (t) => {
  // Guards against peers that mistake a closure for the end of all servers in the zone.
  const host = await startInTwoZones(t);
  await closeZone(host, 'hall-a');
  host.feed.put('servers/s-1', buildServer('s-1', { slots: 3 }));
  await settle();
  t.same(host.servers.listEndedIds(), []);
  await openZone(host, 'hall-a');
  t.same(listIds(host), ['s-1', 's-2']);
});

t.test(
  'a call whose only servers are in closed zones is refused at once, as not run',
  async (t) => {
    const host = await startDirectHost(t);
    await closeZone(host, 'hall-a');
    const { error } = host.call();
    t.equal(error?.kind, ErrorKind.ServiceClosed);
    t.equal(error?.run, 'not_run');
    t.ok(Number(error?.retryAfterMs) > 0);
    t.equal(host.backend.sent.length, 0);
  },
);

t.test('a waiting call is not sent to a zone that closes meanwhile', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.call();
  host.call();
  const waiting = host.call();
  await closeZone(host, 'hall-a');
  host.getSent(0).sendResponse();
  await host.clock.advance(3_000);
  t.equal(host.backend.sent.length, 2);
  t.equal(waiting.error?.run, 'not_run');
});

t.test('a call is sent only to servers in the allowed regions', async (t) => {
  // Guards against request bodies that leave the regions to which their owners are bound.
  const host = await startDirectHost(t, { route: { regions: ['south', 'north'] } }, []);
  host.feed.put('servers/s-1', buildServer('s-1', { availabilityZone: 'far-a' }));
  host.feed.put('servers/s-2', buildServer('s-2', { availabilityZone: 'unknown' }));
  await settle();
  host.call();
  t.equal(host.getSent(0).request.serverId, 's-1');
});

t.test('a call whose regions have no server is refused at once', async (t) => {
  const host = await startDirectHost(t, { route: { regions: ['south'] } });
  const { error } = host.call();
  t.equal(error?.kind, ErrorKind.RegionUnavailable);
  t.equal(host.backend.sent.length, 0);
});
