import t from 'tap';
import type { Test } from 'tap';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { ReportHost } from '../../../test/support/report_host.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';

async function startHosts(
  t: Test,
  ids: readonly string[],
): Promise<{
  readonly hub: FakePeerHub;
  readonly clock: VirtualClock;
  readonly hosts: readonly ReportHost[];
}> {
  const hub = new FakePeerHub();
  const clock = new VirtualClock();
  const hosts = ids.map((id) => new ReportHost(hub, clock, buildIdentity(id)));
  hosts.forEach(({ reports }) => reports.start());
  t.teardown(() => hosts.forEach(({ reports }) => reports.stop()));
  await settle();
  await clock.advance(500);
  return { hub, clock, hosts };
}

t.test('HostReports find each other through one seed', async (t) => {
  const { hosts } = await startHosts(t, ['a', 'b', 'c']);
  const [, b] = hosts;
  t.same(b?.listServing(), ['a', 'c']);
  t.same([...(b?.network.addresses ?? [])].sort(), ['ws://a.test', 'ws://c.test']);
  t.equal(b?.reports.knownCount, 3);
});

t.test('HostReports leave out a peer that reports that it does not serve', async (t) => {
  const { hosts, clock } = await startHosts(t, ['a', 'b']);
  const [a, b] = hosts as [ReportHost, ReportHost];
  b.isServing = false;
  b.reports.sendNow();
  await clock.advance(1);
  t.same(a.listServing(), []);
});

t.test('HostReports notice a silent peer and compute the reachable fraction', async (t) => {
  // Guards against sending callers to a machine without power for as long as TCP takes to
  // notice. The peer loses power and its connections stay open but silent, so an open link is no
  // sign of life.
  const { hub, hosts, clock } = await startHosts(t, ['a', 'b', 'c', 'd']);
  const [a, b] = hosts as [ReportHost, ReportHost];
  hub.silence('a', 'b');
  await clock.advance(1_200);
  t.same(a.listServing(), ['c', 'd']);
  t.same(a.silentIncarnations, [b.identity.incarnation]);
  t.equal(a.reachableFraction, 0.75);
  hub.heal('a', 'b');
  await clock.advance(300);
  t.same(a.listServing(), ['b', 'c', 'd']);
  t.equal(a.reachableFraction, 1);
});

t.test('HostReports treat a restarted peer as the same host with nothing in flight', async (t) => {
  const { hub, hosts, clock } = await startHosts(t, ['a', 'b']);
  const [a, b] = hosts as [ReportHost, ReportHost];
  b.reports.stop();
  await b.network.close();
  const restarted = new ReportHost(hub, clock, buildIdentity('b', 'b-2'));
  t.teardown(() => restarted.reports.stop());
  restarted.reports.start();
  await clock.advance(500);
  t.same(a.silentIncarnations, ['b-1']);
  t.equal(a.reports.knownCount, 2);
  t.same(a.listServing(), ['b']);
});
