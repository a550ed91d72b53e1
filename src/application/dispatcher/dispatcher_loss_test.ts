import t from 'tap';
import { PeerState } from '../../domain/membership/mod.js';
import { ErrorKind } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { Tier } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { buildIdentity } from '../../../test/support/fake_peer_network.js';
import { SERVICE_ID } from '../../../test/support/fake_views.js';
import { DispatchFleet, watch } from '../../../test/support/fleet_fixture.js';
import type { FixtureHost } from '../../../test/support/fleet_fixture.js';

const ANSWERED = { outcome: SlotOutcome.Answered, firstByteMs: 20, totalMs: 500, outputTokens: 25 };

const HOST_IDS = ['a', 'b', 'c', 'd'];

function countRunning(host: FixtureHost): number {
  return host.dispatcher.listQueues()[0]?.running ?? 0;
}

interface LossCase {
  readonly name: string;
  /** Brings the loss about; the first host dispatches, the second owns the request. */
  readonly lose: (fleet: DispatchFleet, hosts: readonly FixtureHost[]) => Promise<void>;
  /** Which of the hosts, in order of responsibility, grants in the end. */
  readonly granter: number;
}

const LOSSES: readonly LossCase[] = [
  {
    name: 'it is killed',
    lose: async (fleet, [dispatcher]) => fleet.kill(dispatcher as FixtureHost),
    granter: 1,
  },
  {
    name: 'it is frozen, and suspected after a while',
    lose: async (fleet, [dispatcher, owner]) => {
      fleet.hub.silence(
        (dispatcher as FixtureHost).identity.id,
        (owner as FixtureHost).identity.id,
      );
      await fleet.clock.advance(2_000);
      fleet.setState(dispatcher as FixtureHost, PeerState.Suspected);
    },
    granter: 1,
  },
  {
    name: 'only the link to it is cut: the next in order takes the request',
    lose: async (fleet, [dispatcher, , , owner]) => {
      fleet.hub.cut((dispatcher as FixtureHost).identity.id, (owner as FixtureHost).identity.id);
    },
    granter: 1,
  },
  {
    name: 'every link is cut: the owner grants from its own share',
    lose: async (fleet, [, , , owner]) => {
      HOST_IDS.forEach((id) => fleet.hub.cut(id, (owner as FixtureHost).identity.id));
    },
    granter: 3,
  },
  {
    name: 'it is forgotten: another incarnation runs at its address',
    lose: async (fleet, [dispatcher]) => {
      const { id, incarnation } = (dispatcher as FixtureHost).identity;
      const { identities } = fleet.hosts[0].membership;
      const index = identities.findIndex((one) => one.incarnation === incarnation);
      identities.splice(index, 1, buildIdentity(id, `${id}-2`));
      fleet.kill(dispatcher as FixtureHost);
      fleet.hosts.forEach(({ membership }) => membership.notify());
    },
    granter: 1,
  },
  {
    name: 'it leaves: it sends what waits to the next',
    lose: async (fleet, [dispatcher]) => {
      fleet.hosts.forEach(({ membership }) => {
        membership.states.set((dispatcher as FixtureHost).identity.incarnation, PeerState.Leaving);
        membership.notify();
      });
      await fleet.clock.advance(1_200);
    },
    granter: 1,
  },
];

LOSSES.forEach(({ name, lose, granter }) => {
  t.test(`SlotClient gets its slot when the dispatcher is lost: ${name}`, async (t) => {
    // Symptom: a request waits for a dispatcher that is no more. Sequence: it
    // queues, the dispatcher is lost. Cause: waiting for an answer that can't come.
    const fleet = new DispatchFleet({ hostIds: HOST_IDS, slots: 4 });
    const hosts = fleet.sortHosts();
    const [dispatcher] = hosts;
    const owner = hosts[3] as FixtureHost;
    const held = await Promise.all(
      [1, 2, 3, 4].map(() => dispatcher.slots.acquire(fleet.buildWish())),
    );
    const wait = watch(owner.slots.acquire(fleet.buildWish()));
    await settle();
    t.same(wait, {}, 'queued');
    const startMs = fleet.clock.nowMs();
    await lose(
      fleet,
      [dispatcher, owner, hosts[1], owner].map((host) => host),
    );
    await fleet.clock.advance(100);
    t.equal(wait.value?.backendServer.id, 'engine-1');
    t.ok(fleet.clock.nowMs() - startMs <= 2_200, 'soon after the loss');
    t.equal(countRunning(hosts[granter] as FixtureHost), 1);
    wait.value?.release(ANSWERED);
    await settle();
    t.equal(countRunning(hosts[granter] as FixtureHost), 0);
    held.forEach((slot) => slot.release(ANSWERED));
  });
});

t.test('DispatcherService keeps to a fixed share while it is not responsible', async (t) => {
  // Symptom: engines get several times their window. Sequence: each entry host is
  // cut from the dispatcher and dispatches alone. Cause: everybody uses the whole.
  const fleet = new DispatchFleet({ hostIds: HOST_IDS, slots: 16 });
  const hosts = fleet.sortHosts();
  HOST_IDS.forEach((a) => HOST_IDS.filter((b) => b > a).forEach((b) => fleet.hub.cut(a, b)));
  hosts.forEach(({ slots }) =>
    Array.from({ length: 30 }, () => watch(slots.acquire(fleet.buildWish()))),
  );
  await settle();
  t.same(hosts.map(countRunning), [16, 4, 4, 4]);
});

t.test('SlotClient lets a release reach the dispatcher after the link was down', async (t) => {
  // Symptom: a slot stays taken. Sequence: the link is down when the answer ends.
  // Cause: a release that is sent once and forgotten.
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortHosts();
  const slot = await owner.slots.acquire(fleet.buildWish());
  fleet.hub.cut(dispatcher.identity.id, owner.identity.id);
  slot.release(ANSWERED);
  await settle();
  t.equal(countRunning(dispatcher), 1);
  fleet.hub.heal(dispatcher.identity.id, owner.identity.id);
  await settle();
  t.equal(countRunning(dispatcher), 0);
});

t.test(
  'DispatcherService reclaims the slots of an owner that is gone, after a while',
  async (t) => {
    const fleet = new DispatchFleet();
    const [dispatcher, owner] = fleet.sortHosts();
    await owner.slots.acquire(fleet.buildWish());
    fleet.kill(owner);
    dispatcher.membership.states.set(owner.identity.incarnation, PeerState.Suspected);
    await fleet.clock.advance(5_000);
    dispatcher.membership.states.set(owner.identity.incarnation, PeerState.Live);
    await fleet.clock.advance(5_500);
    t.equal(countRunning(dispatcher), 1, 'it was back in between');
    dispatcher.membership.states.set(owner.identity.incarnation, PeerState.Suspected);
    await fleet.clock.advance(10_200);
    t.equal(countRunning(dispatcher), 0);
  },
);

t.test('DispatcherService reclaims a slot whose release a silent link swallowed', async (t) => {
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortHosts();
  const wish = fleet.buildWish({ deadlineAtMs: fleet.clock.nowMs() + 10_000 });
  const slot = await owner.slots.acquire(wish);
  fleet.hub.silence(dispatcher.identity.id, owner.identity.id);
  slot.release(ANSWERED);
  await settle();
  fleet.hub.heal(dispatcher.identity.id, owner.identity.id);
  await fleet.clock.advance(39_000);
  t.equal(countRunning(dispatcher), 1);
  await fleet.clock.advance(1_200);
  t.equal(countRunning(dispatcher), 0, 'thirty seconds past its deadline');
});

t.test('DispatcherService grants nothing while its view is not fresh', async (t) => {
  // Symptom: a woken process hands out slots on a backend server that left while
  // it slept. Sequence: SIGSTOP, leaving, SIGCONT. Cause: acting on the old view.
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortHosts();
  dispatcher.membership.fresh = false;
  const wait = watch(owner.slots.acquire(fleet.buildWish()));
  await fleet.clock.advance(1_000);
  t.same(wait, {});
  dispatcher.membership.fresh = true;
  await fleet.clock.advance(100);
  t.ok(wait.value);
});

t.test('DispatcherService keeps its queue while the peer before it flaps', async (t) => {
  // Symptom: requests are queued anew all the time and lose their place.
  // Sequence: the first in order is suspected and live again every 300 ms, and
  // then stays. Cause: following each change at once.
  const fleet = new DispatchFleet({ slots: 1 });
  const [first, second, owner] = fleet.sortHosts() as unknown as FixtureHost[];
  if (!first || !second || !owner) throw new Error('no hosts');
  fleet.setState(first, PeerState.Suspected);
  const held = await owner.slots.acquire(fleet.buildWish());
  const waits = [1, 2, 3].map(() => watch(owner.slots.acquire(fleet.buildWish())));
  await settle();
  const countQuestions = (): number =>
    fleet.hub.delivered.filter(({ message }) => message.type === PeerMessageType.SlotRequest)
      .length;
  for (let flap = 0; flap < 21; flap += 1) {
    fleet.setState(first, flap % 2 === 0 ? PeerState.Live : PeerState.Suspected);
    await fleet.clock.advance(300);
  }
  t.equal(second.dispatcher.listQueues()[0]?.queued.standard, 3, 'all kept their place');
  t.ok(countQuestions() <= 4 + 2 * 3, 'no more than the repeated questions');
  await fleet.clock.advance(900);
  t.equal(second.dispatcher.listQueues()[0]?.queued.standard, 0, 'moved once it had settled');
  t.equal(first.dispatcher.listQueues()[0]?.running, 1, 'and granted by the first');
  t.equal(waits.filter(({ value }) => value).length, 1);
  held.release(ANSWERED);
  await settle();
  t.equal(second.dispatcher.listQueues()[0]?.running, 0);
});

t.test('DispatcherService carries the time waited to the next dispatcher', async (t) => {
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, next, owner] = fleet.sortHosts() as unknown as FixtureHost[];
  if (!dispatcher || !next || !owner) throw new Error('no hosts');
  await dispatcher.slots.acquire(fleet.buildWish({ deadlineAtMs: fleet.clock.nowMs() + 99_000 }));
  watch(owner.slots.acquire(fleet.buildWish({ deadlineAtMs: fleet.clock.nowMs() + 99_000 })));
  await fleet.clock.advance(20_000);
  fleet.kill(dispatcher);
  await settle();
  const asked = owner.peers.sent.at(-1);
  t.match(asked, { type: 'slot_request', waitedMs: 20_000, remainingMs: 79_000 });
});

t.test('SlotClient ends a wait when nobody at all grants, and says not run', async (t) => {
  const fleet = new DispatchFleet({ hostIds: ['a', 'b'] });
  const [, owner] = fleet.sortHosts();
  owner.membership.fresh = false;
  fleet.hub.cut('a', 'b');
  const wish = fleet.buildWish({ deadlineAtMs: fleet.clock.nowMs() + 4_000, tier: Tier.Urgent });
  const wait = watch(owner.slots.acquire(wish));
  await fleet.clock.advance(4_000);
  t.equal((wait.error as SchedulerError).kind, ErrorKind.DeadlineExpired);
  t.equal(owner.dispatcher.listQueues()[0]?.groupId, `${SERVICE_ID}/0`);
  t.equal(owner.dispatcher.listQueues()[0]?.queued.urgent, 0);
});
