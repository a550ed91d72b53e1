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

/** Starts entry hosts in three availability zones, two strong ones in each. */
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

/** Cuts an entry host off from all others without anybody being told. */
function isolateSilently(hub: FakePeerHub, host: ReportHost, others: readonly ReportHost[]): void {
  others
    .filter((other) => other !== host)
    .forEach((other) => hub.silence(host.identity.id, other.identity.id));
}

t.test('the strongest of each availability zone pass reports on', async (t) => {
  const { relays } = await startFleet(t, 20);
  t.same(
    relays.map(({ identity }) => identity.id),
    ['hall-a-1', 'hall-a-2', 'hall-b-1', 'hall-b-2', 'hall-c-1', 'hall-c-2'],
  );
});

t.test('everybody knows of everybody, and counts each request once', async (t) => {
  const { hosts } = await startFleet(t, 20);
  hosts.forEach((host) => {
    const { id } = host.identity;
    t.equal(host.inFlight, 60, id);
    t.equal(host.reach, 1, id);
    t.equal(host.listServing().length, 59, id);
    t.same(
      host.silent.filter((incarnation) => incarnation === `${id}-1`),
      [],
      id,
    );
  });
});

t.test('nobody loses sight of anybody once all have settled', async (t) => {
  // Symptom: callers are told of other addresses all the time, and idle links come and go.
  // Sequence: an entry host meets a relay as a stranger, and becomes its member later.
  // Cause: what the relay tells strangers leaves entries out; the member's receipt for it
  // was taken as one for everything, so that these entries were never told.
  const { hosts, clock } = await startFleet(t, 20);
  // Links of the first moments go after five seconds.
  await clock.advance(6_000);
  const before = hosts.map(({ log }) => log.lines.length);
  await clock.advance(12_000);
  hosts.forEach(({ log, identity }, index) => {
    t.same(log.lines.slice(before[index]), [], identity.id);
  });
});

t.test('members that met as strangers stop asking each other', async (t) => {
  // Symptom: an entry host that is named as a seed sends 150 reports a second for good,
  // more than a relay, and all its links stay.
  // Sequence: all entry hosts begin at three seeds that are members; each is a stranger to
  // the other, so both ask.
  // Cause: each took the other's question for one that was still open, and answered it with
  // its own question, again and again.
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
    t.equal(network.listLinked().length, 1, identity.id);
  });
});

t.test('reports grow with the entry hosts, not with their square', async (t) => {
  const perHost: number[] = [];
  for (const perZone of [7, 20]) {
    const { hub, hosts, clock } = await startFleet(t, perZone);
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

t.test('members of a lost relay are heard through another one within a second', async (t) => {
  // Symptom: a third of the entry hosts vanish from the addresses that callers are told.
  // Sequence: a relay loses power; its members go on reporting to it.
  // Cause: a member that stays with a silent relay is heard by nobody.
  const { hub, clock, hosts, relays } = await startFleet(t, 20);
  const [lost] = relays as [ReportHost];
  isolateSilently(hub, lost, hosts);
  lost.reports.stop();
  await clock.advance(1_300);
  hosts
    .filter((host) => host !== lost)
    .forEach((host) => {
      t.equal(host.listServing().length, 58, host.identity.id);
      t.equal(host.inFlight, 59, host.identity.id);
    });
});

t.test(
  'a member that is cut off counts as silent everywhere, and knows itself cut off',
  async (t) => {
    const { hub, clock, hosts, members } = await startFleet(t, 20);
    const [cut] = members as [ReportHost];
    isolateSilently(hub, cut, hosts);
    await clock.advance(900);
    t.ok(cut.reach <= 1 / 60, String(cut.reach));
    await clock.advance(500);
    hosts
      .filter((host) => host !== cut)
      .forEach((host) => {
        t.notOk(host.listServing().includes(cut.identity.id), host.identity.id);
        t.equal(host.reach, 59 / 60, host.identity.id);
      });
    hub.healAll();
    await clock.advance(1_500);
    hosts.forEach((host) => {
      t.equal(host.reach, 1, host.identity.id);
      t.equal(host.inFlight, 60, host.identity.id);
    });
  },
);

t.test('members leave a relay that is cut off from the other relays', async (t) => {
  // Symptom: a tenth of the entry hosts spend and place as if they were alone.
  // Sequence: a relay loses its links to all relays; its members still reach it.
  // Cause: a relay that answers looks sound, however little it knows.
  const { hub, clock, hosts, relays, members } = await startFleet(t, 20);
  const [narrow] = relays as [ReportHost];
  relays.slice(1).forEach((relay) => hub.silence(narrow.identity.id, relay.identity.id));
  await clock.advance(4_000);
  members.forEach((member) => {
    t.ok(member.reach > 0.9, `${member.identity.id}: ${member.reach}`);
  });
  t.equal(hosts.length, 60);
});

t.test('a restarted entry host finds its way back', async (t) => {
  const { hub, clock, hosts, members } = await startFleet(t, 20);
  const [old] = members as [ReportHost];
  old.reports.stop();
  await old.network.close();
  const identity = { ...old.identity, incarnation: 'again' };
  const again = new ReportHost(hub, clock, identity, {
    seeds: ZONES.map((zone) => `ws://${zone}-1.test`),
    cores: 0.32,
  });
  t.teardown(() => again.reports.stop());
  again.reports.start();
  await clock.advance(2_500);
  t.equal(again.inFlight, 60);
  t.equal(again.listServing().length, 59);
  hosts
    .filter((host) => host !== old)
    .forEach((host) => t.equal(host.inFlight, 60, host.identity.id));
});

t.test('links that nobody uses are given up', async (t) => {
  const { clock, members, relays } = await startFleet(t, 20);
  await clock.advance(6_000);
  const [member] = members as [ReportHost];
  const kept = member.network.listLinked();
  t.equal(kept.length, 1);
  t.ok(relays.some(({ identity }) => identity.incarnation === kept[0]?.incarnation));
});
