import t from 'tap';
import type { Test } from 'tap';
import { buildIdentity, FakePeerHub } from '../../../test/support/fake_peer_network.js';
import { ReportHost } from '../../../test/support/report_host.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { PeerMessageType } from '../../ports/mod.js';

const ZONES = ['hall-a', 'hall-b', 'hall-c'];
const STRONG_HOSTS_PER_ZONE = 2;

interface Fleet {
  readonly hub: FakePeerHub;
  readonly clock: VirtualClock;
  readonly hosts: readonly ReportHost[];
  readonly relays: readonly ReportHost[];
  readonly members: readonly ReportHost[];
}

/** Starts entry hosts in three availability zones, with two strong hosts in each. */
async function startFleet(t: Test, hostsPerZone: number, seedIndex = 1): Promise<Fleet> {
  const hub = new FakePeerHub(true);
  const clock = new VirtualClock();
  const seeds = ZONES.map((zone) => `ws://${zone}-${seedIndex}.test`);
  const hosts = ZONES.flatMap((zone) =>
    Array.from({ length: hostsPerZone }, (_, index) => {
      const identity = { ...buildIdentity(`${zone}-${index + 1}`), availabilityZone: zone };
      const cores = index < STRONG_HOSTS_PER_ZONE ? 1.35 : 0.32;
      return new ReportHost(hub, clock, identity, { seeds, cores });
    }),
  );
  hosts.forEach(({ reports }) => reports.start());
  t.teardown(() => hosts.forEach(({ reports }) => reports.stop()));
  await settle();
  await clock.advance(3_000);
  const relays = hosts.filter(({ reports }) => reports.isRelay);
  const members = hosts.filter(({ reports }) => !reports.isRelay);
  return { hub, clock, hosts, relays, members };
}

/** Silences all connections between an entry host and the others without closing them. */
function isolateSilently(hub: FakePeerHub, host: ReportHost, others: readonly ReportHost[]): void {
  others
    .filter((other) => other !== host)
    .forEach((other) => hub.silence(host.identity.id, other.identity.id));
}

t.test('the strongest entry hosts of each availability zone are relays', async (t) => {
  const { relays } = await startFleet(t, 20);
  t.same(
    relays.map(({ identity }) => identity.id),
    ['hall-a-1', 'hall-a-2', 'hall-b-1', 'hall-b-2', 'hall-c-1', 'hall-c-2'],
  );
});

t.test('all entry hosts know each other and count each request once', async (t) => {
  const { hosts } = await startFleet(t, 20);
  hosts.forEach((host) => {
    const { id } = host.identity;
    t.equal(host.inFlight, 60, id);
    t.equal(host.reachableFraction, 1, id);
    t.equal(host.listServing().length, 59, id);
    t.same(
      host.silentIncarnations.filter((incarnation) => incarnation === `${id}-1`),
      [],
      id,
    );
  });
});

t.test('no entry host loses another one once all have settled', async (t) => {
  // Guards against callers that keep getting changed address lists, and against idle links that
  // come and go. An entry host meets a relay as an unknown peer and later becomes its member.
  // The relay's reports to unknown peers leave entries out, so the acknowledgement of such a
  // report must not count for the complete roster, or the missing entries are never sent.
  const { hosts, clock } = await startFleet(t, 20);
  // Links from the start phase are dropped after five seconds.
  await clock.advance(6_000);
  const before = hosts.map(({ log }) => log.lines.length);
  await clock.advance(12_000);
  hosts.forEach(({ log, identity }, index) => {
    t.same(log.lines.slice(before[index]), [], identity.id);
  });
});

t.test('members that met as unknown peers stop sending requests to each other', async (t) => {
  // Guards against an entry host, named as a seed, that keeps sending 150 reports a second, more
  // than a relay, and keeps all its links. All entry hosts start at three seeds that are
  // members, so each is unknown to the other and both send requests. A member must not take the
  // other's request for one that is still open and answer it with its own request again and
  // again.
  const { hub, clock, members } = await startFleet(t, 20, 5);
  await clock.advance(9_000);
  const before = hub.delivered.length;
  await clock.advance(3_000);
  const counts = new Map<string, number>();
  hub.delivered
    .slice(before)
    .filter(({ message }) => message.type === PeerMessageType.HostReport)
    .forEach(({ from }) => counts.set(from, (counts.get(from) ?? 0) + 1));
  members.forEach(({ identity, network }) => {
    t.equal(counts.get(identity.id), 20, identity.id);
    t.equal(network.listLinkedPeers().length, 1, identity.id);
  });
});

t.test('the number of reports grows with the entry hosts, not with their square', async (t) => {
  const perHost: number[] = [];
  for (const hostsPerZone of [7, 20]) {
    const { hub, hosts, clock } = await startFleet(t, hostsPerZone);
    const before = hub.delivered.length;
    await clock.advance(3_000);
    const reports = hub.delivered
      .slice(before)
      .filter(({ message }) => message.type === PeerMessageType.HostReport);
    perHost.push(reports.length / hosts.length / 3);
  }
  const [few = 0, many = Infinity] = perHost;
  t.ok(many < few * 1.3, perHost.join());
});

t.test('members of a lost relay report through another one within a second', async (t) => {
  // Guards against a third of the entry hosts vanishing from the addresses that callers get. A
  // relay loses power while its members keep reporting to it, and a member that stays with a
  // silent relay is heard by no other host.
  const { hub, clock, hosts, relays } = await startFleet(t, 20);
  const [lostRelay] = relays as [ReportHost];
  isolateSilently(hub, lostRelay, hosts);
  lostRelay.reports.stop();
  await clock.advance(1_300);
  hosts
    .filter((host) => host !== lostRelay)
    .forEach((host) => {
      t.equal(host.listServing().length, 58, host.identity.id);
      t.equal(host.inFlight, 59, host.identity.id);
    });
});

t.test(
  'a partitioned member counts as silent everywhere, and notices that it is cut off',
  async (t) => {
    const { hub, clock, hosts, members } = await startFleet(t, 20);
    const [isolatedMember] = members as [ReportHost];
    isolateSilently(hub, isolatedMember, hosts);
    await clock.advance(900);
    t.ok(isolatedMember.reachableFraction <= 1 / 60, String(isolatedMember.reachableFraction));
    await clock.advance(500);
    hosts
      .filter((host) => host !== isolatedMember)
      .forEach((host) => {
        t.notOk(host.listServing().includes(isolatedMember.identity.id), host.identity.id);
        t.equal(host.reachableFraction, 59 / 60, host.identity.id);
      });
    hub.healAll();
    await clock.advance(1_500);
    hosts.forEach((host) => {
      t.equal(host.reachableFraction, 1, host.identity.id);
      t.equal(host.inFlight, 60, host.identity.id);
    });
  },
);

t.test('members leave a relay that is partitioned from the other relays', async (t) => {
  // Guards against a tenth of the entry hosts spending limits and placing calls as if they were
  // alone. A relay loses its links to all other relays while its members still reach it. A relay
  // that answers looks healthy, however few entry hosts it knows.
  const { hub, clock, hosts, relays, members } = await startFleet(t, 20);
  const [isolatedRelay] = relays as [ReportHost];
  relays.slice(1).forEach((relay) => hub.silence(isolatedRelay.identity.id, relay.identity.id));
  await clock.advance(4_000);
  members.forEach((member) => {
    t.ok(member.reachableFraction > 0.9, `${member.identity.id}: ${member.reachableFraction}`);
  });
  t.equal(hosts.length, 60);
});

t.test('a restarted entry host rejoins the fleet', async (t) => {
  const { hub, clock, hosts, members } = await startFleet(t, 20);
  const [stopped] = members as [ReportHost];
  stopped.reports.stop();
  await stopped.network.close();
  const identity = { ...stopped.identity, incarnation: 'again' };
  const restarted = new ReportHost(hub, clock, identity, {
    seeds: ZONES.map((zone) => `ws://${zone}-1.test`),
    cores: 0.32,
  });
  t.teardown(() => restarted.reports.stop());
  restarted.reports.start();
  await clock.advance(2_500);
  t.equal(restarted.inFlight, 60);
  t.equal(restarted.listServing().length, 59);
  hosts
    .filter((host) => host !== stopped)
    .forEach((host) => t.equal(host.inFlight, 60, host.identity.id));
});

t.test('unused links are dropped', async (t) => {
  const { clock, members, relays } = await startFleet(t, 20);
  await clock.advance(6_000);
  const [member] = members as [ReportHost];
  const links = member.network.listLinkedPeers();
  t.equal(links.length, 1);
  t.ok(relays.some(({ identity }) => identity.incarnation === links[0]?.incarnation));
});
