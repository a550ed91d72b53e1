import t from 'tap';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { createStrategy, StrategyName, Tier } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { buildService } from '../../../test/support/fake_views.js';
import { DispatchFleet, watch } from '../../../test/support/fleet_fixture.js';

const ANSWERED = { outcome: SlotOutcome.Answered, firstByteMs: 20, totalMs: 500, outputTokens: 25 };

t.test('SlotClient.acquire() gets slots from whichever host dispatches', async (t) => {
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortHosts();
  const own = await dispatcher.slots.acquire(fleet.buildWish());
  const remote = await owner.slots.acquire(fleet.buildWish());
  t.equal(own.backendServer.id, 'engine-1');
  t.equal(remote.backendServer.id, 'engine-1');
  t.ok(remote.validUntilMs > fleet.clock.nowMs());
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 2);
  const third = watch(owner.slots.acquire(fleet.buildWish()));
  await settle();
  t.same(third, {}, 'waits while both slots are held');
  remote.release(ANSWERED);
  remote.release(ANSWERED);
  await settle();
  t.equal(third.value?.backendServer.id, 'engine-1', 'gets the slot when it is released');
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 2, 'a second release does nothing');
});

t.test('SlotClient.acquire() refuses at once, with the reason and when to come back', async (t) => {
  const fleet = new DispatchFleet();
  const [, owner] = fleet.sortHosts();
  const nowMs = fleet.clock.nowMs();
  const gone = new AbortController();
  gone.abort();
  const cases = [
    { wish: { serviceId: 'unknown' }, kind: ErrorKind.NoBackendServer },
    { wish: { excluded: ['engine-1'] }, kind: ErrorKind.BackendServerRefused },
    { wish: { deadlineAtMs: nowMs }, kind: ErrorKind.DeadlineExpired },
    { wish: { deadlineAtMs: nowMs + 50 }, kind: ErrorKind.DeadlineUnreachable },
    { wish: { signal: gone.signal }, kind: ErrorKind.Cancelled },
  ];
  for (const { wish, kind } of cases) {
    const refused = watch(owner.slots.acquire(fleet.buildWish(wish)));
    await settle();
    const error = refused.error as SchedulerError | undefined;
    t.equal(error?.kind, kind);
    t.equal(error?.run, RunOutcome.NotRun, kind);
    t.ok(kind === ErrorKind.Cancelled || (error?.retryAfterMs ?? 0) > 0, `advice for ${kind}`);
  }
});

t.test(
  'SlotClient.acquire() ends with its deadline or its caller, and gives the place up',
  async (t) => {
    const fleet = new DispatchFleet({ slots: 1 });
    const [dispatcher, owner] = fleet.sortHosts();
    await owner.slots.acquire(fleet.buildWish());
    const caller = new AbortController();
    const left = watch(owner.slots.acquire(fleet.buildWish({ signal: caller.signal })));
    const late = watch(
      owner.slots.acquire(fleet.buildWish({ deadlineAtMs: fleet.clock.nowMs() + 5_000 })),
    );
    await settle();
    t.same(dispatcher.dispatcher.listQueues()[0]?.queued, { urgent: 0, standard: 2, batch: 0 });
    caller.abort();
    await settle();
    t.equal((left.error as SchedulerError).kind, ErrorKind.Cancelled);
    await fleet.clock.advance(5_000);
    const lateKinds = [ErrorKind.DeadlineUnreachable, ErrorKind.DeadlineExpired];
    t.ok(lateKinds.includes((late.error as SchedulerError).kind));
    t.same(dispatcher.dispatcher.listQueues()[0]?.queued, { urgent: 0, standard: 0, batch: 0 });
  },
);

t.test('SlotClient gives a grant back that comes after its wait ended', async (t) => {
  // Symptom: a slot idles until it is reclaimed. Sequence: the caller leaves while
  // the grant is on its way. Cause: nobody feels responsible for that grant.
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, owner] = fleet.sortHosts();
  const first = await owner.slots.acquire(fleet.buildWish());
  const caller = new AbortController();
  watch(owner.slots.acquire(fleet.buildWish({ signal: caller.signal })));
  await settle();
  first.release(ANSWERED);
  caller.abort();
  await settle();
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 0, 'granted and left at once');
  const late = { type: PeerMessageType.SlotGrant as const, ticket: 2, grantId: 99, validMs: 2_000 };
  dispatcher.peers.send(owner.identity.incarnation, { ...late, backendServerId: 'engine-1' });
  await settle();
  const answer = owner.peers.sent.at(-1);
  t.match(answer, { type: 'slot_release', grantId: 99, outcome: SlotOutcome.Unused });
});

t.test('SlotClient asks again when a silent link swallowed question or answer', async (t) => {
  // Symptom: a request waits until its deadline beside free slots. Sequence: the
  // link loses what is under way and is replaced unseen. Cause: asking once only.
  for (const isAnswerLost of [false, true]) {
    const fleet = new DispatchFleet();
    const [dispatcher, owner] = fleet.sortHosts();
    const [a, b] = [dispatcher.identity.id, owner.identity.id];
    if (!isAnswerLost) fleet.hub.silence(a, b);
    const wait = watch(owner.slots.acquire(fleet.buildWish()));
    if (isAnswerLost) {
      await Promise.resolve();
      while (dispatcher.dispatcher.listQueues()[0]?.running !== 1) await Promise.resolve();
      fleet.hub.silence(a, b);
    }
    await settle();
    t.same(wait, {});
    fleet.hub.heal(a, b);
    await fleet.clock.advance(3_000);
    t.equal(wait.value?.backendServer.id, 'engine-1', isAnswerLost ? 'answer' : 'question');
    t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 1, 'one slot, however often asked');
  }
});

t.test('SlotClient tries a second group before it refuses for lack of room', async (t) => {
  const fleet = new DispatchFleet({ service: buildService(2, 1), slots: 1 });
  const wish = { deadlineAtMs: fleet.clock.nowMs() + 1_500, tier: Tier.Urgent };
  const waits = Array.from({ length: 2 }, () =>
    watch(fleet.hosts[0].slots.acquire(fleet.buildWish({ ...wish, expectedOutputTokens: 60 }))),
  );
  await settle();
  t.same(
    waits.map(({ value }) => value?.backendServer.id).sort(),
    ['engine-1', 'engine-2'],
    'both groups are used',
  );
});

t.test('SlotClient closes a tier in every group of a service', async (t) => {
  // Symptom: overnight work runs in one group while counter lookups are refused
  // in another. Sequence: heartbeats tell of the closing. Cause: each group only
  // knows its own gate.
  const fleet = new DispatchFleet({ service: buildService(2, 1), slots: 1 });
  const [host, other] = fleet.hosts;
  const group = { groupId: 'monsoon-llm/0', waitMs: [9_000, 9_000, 9_000], openTier: Tier.Urgent };
  host.slots.handleGroupLoads(other.identity.incarnation, [group]);
  const refused = watch(host.slots.acquire(fleet.buildWish({ tier: Tier.Batch })));
  await settle();
  t.equal((refused.error as SchedulerError).kind, ErrorKind.TierClosed);
  t.ok((await host.slots.acquire(fleet.buildWish({ tier: Tier.Urgent }))).backendServer);
  await fleet.clock.advance(3_001);
  t.ok((await host.slots.acquire(fleet.buildWish({ tier: Tier.Batch }))).backendServer);
});

t.test('SlotClient under local strategies asks nobody else', async (t) => {
  const shares = { [StrategyName.TwoChoices]: 16, [StrategyName.FixedShares]: 4 };
  for (const [name, expected] of Object.entries(shares)) {
    const strategy = createStrategy(name as StrategyName, { reserveFraction: 0 });
    const hostIds = ['a', 'b', 'c', 'd'];
    const fleet = new DispatchFleet({ slots: 16, strategy, hostIds });
    const [, owner] = fleet.sortHosts();
    Array.from({ length: 20 }, () => watch(owner.slots.acquire(fleet.buildWish())));
    await settle();
    t.equal(owner.dispatcher.listQueues()[0]?.running, expected, name);
    t.equal(owner.peers.sent.length, 0, name);
  }
});
