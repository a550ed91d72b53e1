import t from 'tap';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { createStrategy, StrategyName, Tier } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';
import { buildService } from '../../../test/support/fake_views.js';
import { DispatchFleet, trackPromise } from '../../../test/support/dispatch_fleet.js';

const ANSWERED = { outcome: SlotOutcome.Answered, firstByteMs: 20, totalMs: 500, outputTokens: 25 };

t.test('SlotClient.acquire() gets slots from a local or a remote dispatcher', async (t) => {
  const fleet = new DispatchFleet();
  const [dispatcher, owner] = fleet.sortByResponsibility();
  const localSlot = await dispatcher.slots.acquire(fleet.buildSlotRequest());
  const remoteSlot = await owner.slots.acquire(fleet.buildSlotRequest());
  t.equal(localSlot.backendServer.id, 'engine-1');
  t.equal(remoteSlot.backendServer.id, 'engine-1');
  t.ok(remoteSlot.validUntilMs > fleet.clock.nowMs());
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 2);
  const queuedRequest = trackPromise(owner.slots.acquire(fleet.buildSlotRequest()));
  await settle();
  t.same(queuedRequest, {}, 'waits while both slots are held');
  remoteSlot.release(ANSWERED);
  remoteSlot.release(ANSWERED);
  await settle();
  t.equal(queuedRequest.value?.backendServer.id, 'engine-1', 'gets the slot when it is released');
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 2, 'a second release does nothing');
});

t.test(
  'SlotClient.acquire() refuses at once, with the reason and a retry-after time',
  async (t) => {
    const fleet = new DispatchFleet();
    const [, owner] = fleet.sortByResponsibility();
    const nowMs = fleet.clock.nowMs();
    const disconnect = new AbortController();
    disconnect.abort();
    const cases = [
      { changes: { serviceId: 'unknown' }, kind: ErrorKind.NoBackendServer },
      { changes: { excluded: ['engine-1'] }, kind: ErrorKind.BackendServerRefused },
      { changes: { deadlineAtMs: nowMs }, kind: ErrorKind.DeadlineExpired },
      { changes: { deadlineAtMs: nowMs + 50 }, kind: ErrorKind.DeadlineUnreachable },
      { changes: { signal: disconnect.signal }, kind: ErrorKind.Cancelled },
    ];
    for (const { changes, kind } of cases) {
      const refused = trackPromise(owner.slots.acquire(fleet.buildSlotRequest(changes)));
      await settle();
      const error = refused.error as SchedulerError | undefined;
      t.equal(error?.kind, kind);
      t.equal(error?.run, RunOutcome.NotRun, kind);
      t.ok(
        kind === ErrorKind.Cancelled || (error?.retryAfterMs ?? 0) > 0,
        `retry-after time for ${kind}`,
      );
    }
  },
);

t.test(
  'SlotClient.acquire() leaves the queue when its deadline passes or its caller disconnects',
  async (t) => {
    const fleet = new DispatchFleet({ slots: 1 });
    const [dispatcher, owner] = fleet.sortByResponsibility();
    await owner.slots.acquire(fleet.buildSlotRequest());
    const caller = new AbortController();
    const abortedRequest = trackPromise(
      owner.slots.acquire(fleet.buildSlotRequest({ signal: caller.signal })),
    );
    const lateRequest = trackPromise(
      owner.slots.acquire(fleet.buildSlotRequest({ deadlineAtMs: fleet.clock.nowMs() + 5_000 })),
    );
    await settle();
    t.same(dispatcher.dispatcher.listQueues()[0]?.queued, { urgent: 0, standard: 2, batch: 0 });
    caller.abort();
    await settle();
    t.equal((abortedRequest.error as SchedulerError).kind, ErrorKind.Cancelled);
    await fleet.clock.advance(5_000);
    const lateKinds = [ErrorKind.DeadlineUnreachable, ErrorKind.DeadlineExpired];
    t.ok(lateKinds.includes((lateRequest.error as SchedulerError).kind));
    t.same(dispatcher.dispatcher.listQueues()[0]?.queued, { urgent: 0, standard: 0, batch: 0 });
  },
);

t.test('SlotClient releases a grant that arrives after its request ended', async (t) => {
  // Guards against a slot that idles until it is reclaimed: the caller disconnects while
  // the grant is in transit, and nobody releases it.
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, owner] = fleet.sortByResponsibility();
  const first = await owner.slots.acquire(fleet.buildSlotRequest());
  const caller = new AbortController();
  trackPromise(owner.slots.acquire(fleet.buildSlotRequest({ signal: caller.signal })));
  await settle();
  first.release(ANSWERED);
  caller.abort();
  await settle();
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 0, 'granted and released at once');
  const lateGrant = {
    type: PeerMessageType.SlotGrant as const,
    ticket: 2,
    grantId: 99,
    validMs: 2_000,
  };
  dispatcher.peers.send(owner.identity.incarnation, { ...lateGrant, backendServerId: 'engine-1' });
  await settle();
  const answer = owner.peers.sent.at(-1);
  t.match(answer, { type: 'slot_release', grantId: 99, outcome: SlotOutcome.Unused });
});

t.test(
  'SlotClient resends a request when a stalled link lost the request or the reply',
  async (t) => {
    // Guards against a request that waits until its deadline although slots are free: the
    // link is replaced unnoticed and loses the messages in transit, and the request is
    // sent only once.
    for (const isAnswerLost of [false, true]) {
      const fleet = new DispatchFleet();
      const [dispatcher, owner] = fleet.sortByResponsibility();
      const [a, b] = [dispatcher.identity.id, owner.identity.id];
      if (!isAnswerLost) fleet.hub.silence(a, b);
      const pendingSlot = trackPromise(owner.slots.acquire(fleet.buildSlotRequest()));
      if (isAnswerLost) {
        await Promise.resolve();
        while (dispatcher.dispatcher.listQueues()[0]?.running !== 1) await Promise.resolve();
        fleet.hub.silence(a, b);
      }
      await settle();
      t.same(pendingSlot, {});
      fleet.hub.heal(a, b);
      await fleet.clock.advance(3_000);
      t.equal(pendingSlot.value?.backendServer.id, 'engine-1', isAnswerLost ? 'answer' : 'request');
      t.equal(
        dispatcher.dispatcher.listQueues()[0]?.running,
        1,
        'one slot, however often the request is sent',
      );
    }
  },
);

t.test('SlotClient tries a second group before it refuses for lack of capacity', async (t) => {
  const fleet = new DispatchFleet({ service: buildService(2, 1), slots: 1 });
  const slotRequest = { deadlineAtMs: fleet.clock.nowMs() + 1_500, tier: Tier.Urgent };
  const pendingSlots = Array.from({ length: 2 }, () =>
    trackPromise(
      fleet.hosts[0].slots.acquire(
        fleet.buildSlotRequest({ ...slotRequest, expectedOutputTokens: 60 }),
      ),
    ),
  );
  await settle();
  t.same(
    pendingSlots.map(({ value }) => value?.backendServer.id).sort(),
    ['engine-1', 'engine-2'],
    'both groups are used',
  );
});

t.test('SlotClient closes a tier in every group of a service', async (t) => {
  // Guards against batch work that runs in one group while urgent lookups are refused in
  // another, when each group knows only its own tier gate. Heartbeats report closed tiers.
  const fleet = new DispatchFleet({ service: buildService(2, 1), slots: 1 });
  const [host, other] = fleet.hosts;
  const group = { groupId: 'monsoon-llm/0', waitMs: [9_000, 9_000, 9_000], openTier: Tier.Urgent };
  host.slots.handleGroupLoads(other.identity.incarnation, [group]);
  const refused = trackPromise(host.slots.acquire(fleet.buildSlotRequest({ tier: Tier.Batch })));
  await settle();
  t.equal((refused.error as SchedulerError).kind, ErrorKind.TierClosed);
  t.ok((await host.slots.acquire(fleet.buildSlotRequest({ tier: Tier.Urgent }))).backendServer);
  await fleet.clock.advance(3_001);
  t.ok((await host.slots.acquire(fleet.buildSlotRequest({ tier: Tier.Batch }))).backendServer);
});

t.test('SlotClient sends no message to peers under local strategies', async (t) => {
  const shares = { [StrategyName.TwoChoices]: 16, [StrategyName.FixedShares]: 4 };
  for (const [name, expected] of Object.entries(shares)) {
    const strategy = createStrategy(name as StrategyName, { reserveFraction: 0 });
    const hostIds = ['a', 'b', 'c', 'd'];
    const fleet = new DispatchFleet({ slots: 16, strategy, hostIds });
    const [, owner] = fleet.sortByResponsibility();
    Array.from({ length: 20 }, () => trackPromise(owner.slots.acquire(fleet.buildSlotRequest())));
    await settle();
    t.equal(owner.dispatcher.listQueues()[0]?.running, expected, name);
    t.equal(owner.peers.sent.length, 0, name);
  }
});
