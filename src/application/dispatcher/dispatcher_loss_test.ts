import t from 'tap';
import { PeerState } from '../../domain/membership/mod.js';
import { ErrorKind } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { Tier } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { buildIdentity } from '../../../test/support/fake_peer_network.js';
import { SERVICE_ID } from '../../../test/support/fake_views.js';
import { DispatchFleet, trackPromise } from '../../../test/support/dispatch_fleet.js';
import type { FixtureHost } from '../../../test/support/dispatch_fleet.js';

const ANSWERED = { outcome: SlotOutcome.Answered, firstByteMs: 20, totalMs: 500, outputTokens: 25 };

const HOST_IDS = ['a', 'b', 'c', 'd'];

function countRunning(host: FixtureHost): number {
  return host.dispatcher.listQueues()[0]?.running ?? 0;
}

interface LossCase {
  readonly name: string;
  /**
   * Causes the loss. The hosts are the dispatcher, the owner, the next host in the
   * order of responsibility, and the owner again.
   */
  readonly causeLoss: (fleet: DispatchFleet, hosts: readonly FixtureHost[]) => Promise<void>;
  /** Index of the host, in the order of responsibility, that finally grants the slot. */
  readonly granterIndex: number;
}

const LOSS_CASES: readonly LossCase[] = [
  {
    name: 'killed',
    causeLoss: async (fleet, [dispatcher]) => fleet.kill(dispatcher as FixtureHost),
    granterIndex: 1,
  },
  {
    name: 'frozen and then suspected',
    causeLoss: async (fleet, [dispatcher, owner]) => {
      fleet.hub.silence(
        (dispatcher as FixtureHost).identity.id,
        (owner as FixtureHost).identity.id,
      );
      await fleet.clock.advance(2_000);
      fleet.setState(dispatcher as FixtureHost, PeerState.Suspected);
    },
    granterIndex: 1,
  },
  {
    name: 'only its link is cut, the next host grants',
    causeLoss: async (fleet, [dispatcher, , , owner]) => {
      fleet.hub.cut((dispatcher as FixtureHost).identity.id, (owner as FixtureHost).identity.id);
    },
    granterIndex: 1,
  },
  {
    name: 'all links are cut, the owner grants from its own share',
    causeLoss: async (fleet, [, , , owner]) => {
      HOST_IDS.forEach((id) => fleet.hub.cut(id, (owner as FixtureHost).identity.id));
    },
    granterIndex: 3,
  },
  {
    name: 'removed after another incarnation started at its address',
    causeLoss: async (fleet, [dispatcher]) => {
      const { id, incarnation } = (dispatcher as FixtureHost).identity;
      const { identities } = fleet.hosts[0].membership;
      const index = identities.findIndex((one) => one.incarnation === incarnation);
      identities.splice(index, 1, buildIdentity(id, `${id}-2`));
      fleet.kill(dispatcher as FixtureHost);
      fleet.hosts.forEach(({ membership }) => membership.notify());
    },
    granterIndex: 1,
  },
  {
    name: 'draining, it hands off its queue to the next host',
    causeLoss: async (fleet, [dispatcher]) => {
      fleet.hosts.forEach(({ membership }) => {
        membership.states.set((dispatcher as FixtureHost).identity.incarnation, PeerState.Leaving);
        membership.notify();
      });
      await fleet.clock.advance(1_200);
    },
    granterIndex: 1,
  },
];

LOSS_CASES.forEach(({ name, causeLoss, granterIndex }) => {
  t.test(`SlotClient acquires its slot when the dispatcher is lost: ${name}`, async (t) => {
    // Guards against a queued request that waits for the reply of a lost dispatcher.
    const fleet = new DispatchFleet({ hostIds: HOST_IDS, slots: 4 });
    const hosts = fleet.sortByResponsibility();
    const [dispatcher] = hosts;
    const owner = hosts[3] as FixtureHost;
    const heldSlots = await Promise.all(
      [1, 2, 3, 4].map(() => dispatcher.slots.acquire(fleet.buildSlotRequest())),
    );
    const pendingSlot = trackPromise(owner.slots.acquire(fleet.buildSlotRequest()));
    await settle();
    t.same(pendingSlot, {}, 'queued');
    const startMs = fleet.clock.nowMs();
    await causeLoss(
      fleet,
      [dispatcher, owner, hosts[1], owner].map((host) => host),
    );
    await fleet.clock.advance(100);
    t.equal(pendingSlot.value?.backendServer.id, 'engine-1');
    t.ok(fleet.clock.nowMs() - startMs <= 2_200, 'soon after the loss');
    t.equal(countRunning(hosts[granterIndex] as FixtureHost), 1);
    pendingSlot.value?.release(ANSWERED);
    await settle();
    t.equal(countRunning(hosts[granterIndex] as FixtureHost), 0);
    heldSlots.forEach((slot) => slot.release(ANSWERED));
  });
});

t.test('DispatcherService uses only a fixed share while it is not responsible', async (t) => {
  // Guards against engines that get several times their window: all entry hosts are cut
  // off from the dispatcher, each dispatches alone, and each uses the whole window.
  const fleet = new DispatchFleet({ hostIds: HOST_IDS, slots: 16 });
  const hosts = fleet.sortByResponsibility();
  HOST_IDS.forEach((a) => HOST_IDS.filter((b) => b > a).forEach((b) => fleet.hub.cut(a, b)));
  hosts.forEach(({ slots }) =>
    Array.from({ length: 30 }, () => trackPromise(slots.acquire(fleet.buildSlotRequest()))),
  );
  await settle();
  t.same(hosts.map(countRunning), [16, 4, 4, 4]);
});

t.test('SlotClient delivers a release once the link to the dispatcher is up again', async (t) => {
  // Guards against a leaked slot: the link is down when the answer ends, and the release
  // is sent only once.
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortByResponsibility();
  const slot = await owner.slots.acquire(fleet.buildSlotRequest());
  fleet.hub.cut(dispatcher.identity.id, owner.identity.id);
  slot.release(ANSWERED);
  await settle();
  t.equal(countRunning(dispatcher), 1);
  fleet.hub.heal(dispatcher.identity.id, owner.identity.id);
  await settle();
  t.equal(countRunning(dispatcher), 0);
});

t.test('DispatcherService reclaims the slots of an owner that stays unreachable', async (t) => {
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortByResponsibility();
  await owner.slots.acquire(fleet.buildSlotRequest());
  fleet.kill(owner);
  dispatcher.membership.states.set(owner.identity.incarnation, PeerState.Suspected);
  await fleet.clock.advance(5_000);
  dispatcher.membership.states.set(owner.identity.incarnation, PeerState.Live);
  await fleet.clock.advance(5_500);
  t.equal(countRunning(dispatcher), 1, 'it was reachable in between');
  dispatcher.membership.states.set(owner.identity.incarnation, PeerState.Suspected);
  await fleet.clock.advance(10_200);
  t.equal(countRunning(dispatcher), 0);
});

t.test('DispatcherService reclaims a slot whose release was lost on a stalled link', async (t) => {
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortByResponsibility();
  const slotRequest = fleet.buildSlotRequest({ deadlineAtMs: fleet.clock.nowMs() + 10_000 });
  const slot = await owner.slots.acquire(slotRequest);
  fleet.hub.silence(dispatcher.identity.id, owner.identity.id);
  slot.release(ANSWERED);
  await settle();
  fleet.hub.heal(dispatcher.identity.id, owner.identity.id);
  await fleet.clock.advance(39_000);
  t.equal(countRunning(dispatcher), 1);
  await fleet.clock.advance(1_200);
  t.equal(countRunning(dispatcher), 0, '30 seconds after its deadline');
});

t.test('DispatcherService grants nothing while its membership view is not fresh', async (t) => {
  // Guards against a process that was paused (SIGSTOP, SIGCONT) and, by its stale view, grants
  // slots on a backend server that began to drain during the pause.
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortByResponsibility();
  dispatcher.membership.fresh = false;
  const pendingSlot = trackPromise(owner.slots.acquire(fleet.buildSlotRequest()));
  await fleet.clock.advance(1_000);
  t.same(pendingSlot, {});
  dispatcher.membership.fresh = true;
  await fleet.clock.advance(100);
  t.ok(pendingSlot.value);
});

t.test('DispatcherService keeps its queue while the preferred dispatcher flaps', async (t) => {
  // Guards against requests that are requeued all the time and lose their queue position:
  // the first host in order alternates between suspected and live every 300 ms before it
  // stays live. Queues must not be handed off at each change.
  const fleet = new DispatchFleet({ slots: 1 });
  const [first, second, owner] = fleet.sortByResponsibility() as unknown as FixtureHost[];
  if (!first || !second || !owner) throw new Error('no hosts');
  fleet.setState(first, PeerState.Suspected);
  const heldSlot = await owner.slots.acquire(fleet.buildSlotRequest());
  const pendingSlots = [1, 2, 3].map(() =>
    trackPromise(owner.slots.acquire(fleet.buildSlotRequest())),
  );
  await settle();
  const countSlotRequests = (): number =>
    fleet.hub.delivered.filter(({ message }) => message.type === PeerMessageType.SlotRequest)
      .length;
  for (let flapCount = 0; flapCount < 21; flapCount += 1) {
    fleet.setState(first, flapCount % 2 === 0 ? PeerState.Live : PeerState.Suspected);
    await fleet.clock.advance(300);
  }
  t.equal(second.dispatcher.listQueues()[0]?.queued.standard, 3, 'all requests stay queued');
  t.ok(countSlotRequests() <= 4 + 2 * 3, 'no more than the resent requests');
  await fleet.clock.advance(900);
  t.equal(
    second.dispatcher.listQueues()[0]?.queued.standard,
    0,
    'handed off once the first host stays live',
  );
  t.equal(first.dispatcher.listQueues()[0]?.running, 1, 'granted by the first host');
  t.equal(pendingSlots.filter(({ value }) => value).length, 1);
  heldSlot.release(ANSWERED);
  await settle();
  t.equal(second.dispatcher.listQueues()[0]?.running, 0);
});

t.test('SlotClient passes the time waited to the next dispatcher', async (t) => {
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, next, owner] = fleet.sortByResponsibility() as unknown as FixtureHost[];
  if (!dispatcher || !next || !owner) throw new Error('no hosts');
  await dispatcher.slots.acquire(
    fleet.buildSlotRequest({ deadlineAtMs: fleet.clock.nowMs() + 99_000 }),
  );
  trackPromise(
    owner.slots.acquire(fleet.buildSlotRequest({ deadlineAtMs: fleet.clock.nowMs() + 99_000 })),
  );
  await fleet.clock.advance(20_000);
  fleet.kill(dispatcher);
  await settle();
  const lastRequest = owner.peers.sent.at(-1);
  t.match(lastRequest, { type: 'slot_request', waitedMs: 20_000, remainingMs: 79_000 });
});

t.test('SlotClient ends a request that nobody grants at its deadline', async (t) => {
  const fleet = new DispatchFleet({ hostIds: ['a', 'b'] });
  const [, owner] = fleet.sortByResponsibility();
  owner.membership.fresh = false;
  fleet.hub.cut('a', 'b');
  const slotRequest = fleet.buildSlotRequest({
    deadlineAtMs: fleet.clock.nowMs() + 4_000,
    tier: Tier.Urgent,
  });
  const pendingSlot = trackPromise(owner.slots.acquire(slotRequest));
  await fleet.clock.advance(4_000);
  t.equal((pendingSlot.error as SchedulerError).kind, ErrorKind.DeadlineExpired);
  t.equal(owner.dispatcher.listQueues()[0]?.groupId, `${SERVICE_ID}/0`);
  t.equal(owner.dispatcher.listQueues()[0]?.queued.urgent, 0);
});
