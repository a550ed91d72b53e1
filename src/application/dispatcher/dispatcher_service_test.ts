import fc from 'fast-check';
import t from 'tap';
import { PeerState } from '../../domain/membership/mod.js';
import { TIERS } from '../../domain/scheduling/mod.js';
import type { Tier } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';
import type { Slot } from '../views/mod.js';
import { buildService } from '../../../test/support/fake_views.js';
import { DispatchFleet, trackPromise } from '../../../test/support/dispatch_fleet.js';
import type { FixtureHost } from '../../../test/support/dispatch_fleet.js';

const SLOT_USE = { firstByteMs: 20, totalMs: 500, outputTokens: 25 };

async function acquireMany(
  fleet: DispatchFleet,
  host: FixtureHost,
  count: number,
): Promise<Slot[]> {
  const pendingSlots = Array.from({ length: count }, () =>
    trackPromise(host.slots.acquire(fleet.buildSlotRequest())),
  );
  await settle();
  return pendingSlots.flatMap(({ value }) => value ?? []);
}

interface LeavingCase {
  readonly name: string;
  readonly announceDraining: (fleet: DispatchFleet, hosts: readonly FixtureHost[]) => Promise<void>;
}

const DRAINING_CASES: readonly LeavingCase[] = [
  {
    name: 'known to the dispatcher from the host list or a peer',
    announceDraining: async (_, [dispatcher]) => {
      dispatcher?.membership.leavingBackendServers.add('engine-2');
      dispatcher?.membership.notify();
    },
  },
  {
    name: 'known only to the owner of the request',
    announceDraining: async (_, [, owner]) => {
      owner?.membership.leavingBackendServers.add('engine-2');
    },
  },
  {
    name: 'reported by the backend server in a load report',
    announceDraining: async (fleet) => {
      fleet.backend.loads.set('engine-2', { running: 0, waiting: 0, leaving: true });
      await fleet.clock.advance(1_100);
    },
  },
  {
    name: 'removed from the configuration',
    announceDraining: async (fleet) => fleet.configuration.replaceService(buildService(1)),
  },
];

DRAINING_CASES.forEach(({ name, announceDraining }) => {
  t.test(`DispatcherService grants no slot on a draining backend server: ${name}`, async (t) => {
    const fleet = new DispatchFleet({ service: buildService(2), slots: 4 });
    const [dispatcher, owner] = fleet.sortByResponsibility();
    const heldBefore = await acquireMany(fleet, owner, 6);
    t.ok(heldBefore.some(({ backendServer }) => backendServer.id === 'engine-2'));
    await announceDraining(fleet, [dispatcher, owner]);
    heldBefore.forEach((slot) => slot.release({ outcome: SlotOutcome.Answered, ...SLOT_USE }));
    const grantedAfter = await acquireMany(fleet, owner, 4);
    t.ok(grantedAfter.length > 0);
    t.ok(grantedAfter.every(({ backendServer }) => backendServer.id === 'engine-1'));
  });
});

t.test('DispatcherService takes over from another one without overloading engines', async (t) => {
  // Guards against engines that get twice their window after a dispatcher crashed: its
  // successor knows only its own grants and starts with all slots free, while the owners'
  // requests still run. Load reports, though delayed, make up for it.
  const fleet = new DispatchFleet({ slots: 8 });
  const [dispatcher, next, owner] = fleet.sortByResponsibility() as unknown as FixtureHost[];
  if (!dispatcher || !next || !owner) throw new Error('no hosts');
  t.equal((await acquireMany(fleet, owner, 8)).length, 8);
  fleet.backend.loads.set('engine-1', { running: 8, waiting: 0, leaving: false });
  fleet.kill(dispatcher);
  fleet.setState(dispatcher, PeerState.Suspected);
  await fleet.clock.advance(1_100);
  t.equal(
    (await acquireMany(fleet, owner, 8)).length,
    1,
    'one is granted, so that a wrong report can not block the group',
  );
  await fleet.clock.advance(3_000);
  fleet.backend.loads.set('engine-1', { running: 1, waiting: 0, leaving: false });
  await fleet.clock.advance(1_100);
  t.equal(
    next.dispatcher.listQueues()[0]?.running,
    8,
    'the reports show that the old requests have ended',
  );
});

t.test('DispatcherService ignores stale load reports', async (t) => {
  // Guards against slots that stay unused: reports stop while the last one shows full
  // engines, and it never expires.
  const fleet = new DispatchFleet({ slots: 4 });
  const [dispatcher] = fleet.sortByResponsibility();
  fleet.backend.loads.set('engine-1', { running: 50, waiting: 9, leaving: false });
  await fleet.clock.advance(1_100);
  t.equal((await acquireMany(fleet, dispatcher, 4)).length, 1);
  fleet.backend.loads.delete('engine-1');
  await fleet.clock.advance(4_200);
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 4);
});

t.test('DispatcherService polls only the backend servers of its assigned groups', async (t) => {
  const fleet = new DispatchFleet({ service: buildService(6, 1) });
  await fleet.clock.advance(3_050);
  const reads = new Map<string, number>();
  fleet.backend.reads.forEach((id) => reads.set(id, (reads.get(id) ?? 0) + 1));
  t.same(
    [...reads.values()],
    [3, 3, 3, 3, 3, 3],
    'each is polled once a second, by one entry host',
  );
});

t.test(
  'DispatcherService.listGroupLoads() lists the groups that it is responsible for',
  async (t) => {
    const fleet = new DispatchFleet({ slots: 1 });
    const [dispatcher, owner] = fleet.sortByResponsibility();
    await acquireMany(fleet, owner, 3);
    const [load] = dispatcher.dispatcher.listGroupLoads();
    t.match(load, { groupId: 'monsoon-llm/0', openTier: TIERS[2] });
    t.ok(load?.waitMs.length === 3 && (load.waitMs[1] ?? 0) > 0);
    t.same(owner.dispatcher.listGroupLoads(), []);
    t.match(dispatcher.dispatcher.listQueues()[0], {
      groupId: 'monsoon-llm/0',
      strategy: 'dispatcher',
      responsible: true,
      queued: { urgent: 0, standard: 2, batch: 0 },
      running: 1,
      window: 1,
      openTier: 'batch',
      ejected: [],
    });
  },
);

type Step =
  | { readonly kind: 'ask'; readonly host: number; readonly tier: Tier }
  | { readonly kind: 'release'; readonly index: number; readonly outcome: SlotOutcome }
  | { readonly kind: 'abort'; readonly index: number }
  | { readonly kind: 'cut' | 'heal'; readonly a: number; readonly b: number }
  | { readonly kind: 'wait'; readonly ms: number };

const HOST_INDEX = fc.nat(3);

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      host: HOST_INDEX,
      tier: fc.constantFrom(...TIERS),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      index: fc.nat(50),
      outcome: fc.constantFrom(...Object.values(SlotOutcome)),
    }),
  },
  { arbitrary: fc.record({ kind: fc.constant('abort' as const), index: fc.nat(50) }), weight: 1 },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom('cut' as const, 'heal' as const),
      a: HOST_INDEX,
      b: HOST_INDEX,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(50, 700, 4000),
    }),
  },
);

t.test('SlotClient and DispatcherService leak no slot in any order of link failures', async (t) => {
  // Guards against windows that shrink over days: grants, releases, cancellations and
  // refusals cross while links fail and recover, and a slot remains that the owner
  // doesn't hold and the dispatcher doesn't count as free.
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { maxLength: 40, size: 'max' }), async (steps) => {
      const fleet = new DispatchFleet({ hostIds: ['a', 'b', 'c', 'd'], service: buildService(2) });
      const requests: { result: { value?: Slot; error?: unknown }; caller: AbortController }[] = [];
      const run = async (step: Step): Promise<void> => {
        const { hosts, hub } = fleet;
        if (step.kind === 'ask') {
          const caller = new AbortController();
          const slotRequest = fleet.buildSlotRequest({ tier: step.tier, signal: caller.signal });
          const host = hosts[step.host] as FixtureHost;
          requests.push({ result: trackPromise(host.slots.acquire(slotRequest)), caller });
        }
        const slots = requests.flatMap(({ result }) => result.value ?? []);
        if (step.kind === 'release')
          slots[step.index % Math.max(1, slots.length)]?.release({
            outcome: step.outcome,
            ...SLOT_USE,
          });
        if (step.kind === 'abort')
          requests[step.index % Math.max(1, requests.length)]?.caller.abort();
        if ((step.kind === 'cut' || step.kind === 'heal') && step.a !== step.b)
          hub[step.kind]('abcd'.charAt(step.a), 'abcd'.charAt(step.b));
        await (step.kind === 'wait' ? fleet.clock.advance(step.ms) : settle());
      };
      for (const step of steps) await run(step);
      fleet.hub.healAll();
      requests.forEach(({ caller }) => caller.abort());
      await settle();
      requests.forEach(({ result }) =>
        result.value?.release({ outcome: SlotOutcome.Answered, ...SLOT_USE }),
      );
      await fleet.clock.advance(200);
      t.ok(
        requests.every(({ result }) => result.value ?? result.error),
        'every slot request has ended',
      );
      const remainingQueues = fleet.hosts.flatMap(({ dispatcher }) => dispatcher.listQueues());
      t.same(
        remainingQueues
          .map(({ running, queued }) => [running, queued.standard])
          .flat()
          .filter(Boolean),
        [],
      );
    }),
    { seed: 42, numRuns: 60 },
  );
});

t.test('DispatcherService drops the queued requests of an owner whose link is down', async (t) => {
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, owner] = fleet.sortByResponsibility();
  await dispatcher.slots.acquire(fleet.buildSlotRequest());
  trackPromise(owner.slots.acquire(fleet.buildSlotRequest()));
  await settle();
  t.equal(dispatcher.dispatcher.listQueues()[0]?.queued.standard, 1);
  fleet.hub.cut(dispatcher.identity.id, owner.identity.id);
  await settle();
  t.equal(dispatcher.dispatcher.listQueues()[0]?.queued.standard, 0);
  const refused = fleet.hub.delivered.filter(
    ({ message }) => message.type === PeerMessageType.SlotRefusal,
  );
  t.same(refused, []);
});
