import t from 'tap';
import { buildDocument } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { startStreamFleet, STREAM_ROUTE, StreamState } from '../../../test/support/stream_fleet.js';
import type { StreamFleet } from '../../../test/support/stream_fleet.js';
import type { Route } from '../../domain/routing/mod.js';

const NEW_SERVICE = 'new-engines';

/** Starts a fleet of one version, and a server of another version in a service without routes. */
async function startFleetOfTwoServices(hosts = 3): Promise<StreamFleet> {
  const fleet = await startStreamFleet(t, { pickVersion: () => 'v1', hosts, keepsHistory: true });
  fleet.startServer('s-9', 'v2', []);
  fleet.writeEntry('s-9', fleet.hosts, { serviceId: NEW_SERVICE });
  await fleet.clock.advance(100);
  return fleet;
}

/** Publishes a configuration that differs in its route. */
function publish(hosts: readonly DirectHost[], version: number, changes: Partial<Route>): void {
  const route = { ...STREAM_ROUTE, ...changes };
  hosts.forEach(({ feed }) => feed.put('configuration', buildDocument(version, { route })));
}

function moveRoute(hosts: readonly DirectHost[], version = 2): void {
  publish(hosts, version, { services: [{ serviceId: NEW_SERVICE, weight: 1 }] });
}

/** Guards against a version that is inferred from the servers that a route has come to. */
t.test('a stream does not go on at the service that its route was moved to', async (t) => {
  const fleet = await startFleetOfTwoServices();
  const [host, other] = fleet.hosts as [DirectHost, DirectHost];
  const caller = await fleet.beginStream(host);
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  fleet.hub.partition(ids.slice(0, 1), ids.slice(1));
  moveRoute(fleet.hosts);
  await fleet.clock.advance(100);
  await fleet.takeUp(caller, other);
  t.equal(caller.state, StreamState.Refused);
  t.same(new Set(caller.versions), new Set(['v1']));
});

/** Guards against a version that is inferred from the servers that a route has left. */
t.test('a stream does not go on where a host still sends that missed a move', async (t) => {
  const fleet = await startFleetOfTwoServices();
  const [host, late] = fleet.hosts as [DirectHost, DirectHost];
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  const held = late.feed.holdChanges();
  moveRoute(fleet.hosts);
  await fleet.clock.advance(100);
  const caller = await fleet.beginStream(host);
  t.equal(caller.state, StreamState.Open);
  t.same(caller.versions, ['v2', 'v2']);
  fleet.hub.partition([ids[1] as string], ids.slice(0, 1).concat(ids.slice(2)));
  caller.send(late);
  await fleet.clock.advance(200);
  held.release();
  await fleet.clock.advance(1_500);
  t.equal(caller.state, StreamState.Refused);
  t.same(new Set(caller.versions), new Set(['v2']));
});

/** Guards against streams that are refused after a move, as nobody but their host knows them. */
t.test('streams from before and after a move go on though their host is killed', async (t) => {
  const fleet = await startFleetOfTwoServices(4);
  const host = fleet.hosts[0] as DirectHost;
  const before = await fleet.beginStream(host);
  const services = ['engines', NEW_SERVICE].map((serviceId) => ({ serviceId, weight: 1 }));
  publish(fleet.hosts, 2, { services });
  await fleet.clock.advance(100);
  const after = await fleet.beginStream(host);
  await fleet.kill(host);
  for (const caller of [before, after]) {
    await fleet.takeUp(caller, fleet.pickHost());
    t.equal(caller.state, StreamState.Whole);
    t.notOk(caller.isMixed);
  }
});

/** Guards against records of all streams after each configuration, whatever it changes. */
t.test('a configuration that moves no stream leaves the version inferable', async (t) => {
  const fleet = await startFleetOfTwoServices();
  publish(fleet.hosts, 2, { timeoutMs: 4_000, rank: 3 });
  await fleet.clock.advance(100);
  const caller = fleet.createCaller();
  caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
  await fleet.clock.advance(500);
  t.equal(caller.state, StreamState.Whole);
});

/** Guards against refusals after a configuration that only adds a route for other calls. */
t.test('a new route for other streams leaves the version inferable', async (t) => {
  const fleet = await startFleetOfTwoServices();
  const services = [{ serviceId: NEW_SERVICE, weight: 1 }];
  const added = { ...STREAM_ROUTE, name: 'added', prefix: '/other/', services };
  fleet.hosts.forEach(({ feed }) =>
    feed.put('configuration', buildDocument(2, { routes: [STREAM_ROUTE, added] })),
  );
  await fleet.clock.advance(100);
  const caller = fleet.createCaller();
  caller.send(fleet.pickHost(), { resumedRequestId: 'unknown', lastEventId: '2' });
  await fleet.clock.advance(500);
  t.equal(caller.state, StreamState.Whole);
});

/** Guards against a version that is inferred at hosts that have started since a route was moved. */
t.test('a move before a restart of all hosts is found in the store’s history', async (t) => {
  const fleet = await startFleetOfTwoServices();
  const caller = await fleet.beginStream(fleet.hosts[0] as DirectHost);
  moveRoute(fleet.hosts);
  await fleet.clock.advance(100);
  const killed = [...fleet.hosts];
  for (const host of killed) await fleet.kill(host);
  for (const host of killed) await fleet.restart(host, host.feed.copy());
  await fleet.clock.advance(100);
  await fleet.takeUp(caller, fleet.pickHost());
  t.equal(caller.state, StreamState.Refused);
  t.same(new Set(caller.versions), new Set(['v1']));
});
