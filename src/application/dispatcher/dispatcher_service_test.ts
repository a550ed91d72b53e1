import fc from 'fast-check';
import t from 'tap';
import { PeerState } from '../../domain/membership/mod.js';
import { TIERS } from '../../domain/scheduling/mod.js';
import type { Tier } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import { settle } from '../../../test/support/virtual_clock.js';
import type { Slot } from '../views/mod.js';
import { buildService } from '../../../test/support/fake_views.js';
import { DispatchFleet, watch } from '../../../test/support/fleet_fixture.js';
import type { FixtureHost } from '../../../test/support/fleet_fixture.js';

const USE = { firstByteMs: 20, totalMs: 500, outputTokens: 25 };

async function acquireMany(
  fleet: DispatchFleet,
  host: FixtureHost,
  count: number,
): Promise<Slot[]> {
  const waits = Array.from({ length: count }, () => watch(host.slots.acquire(fleet.buildWish())));
  await settle();
  return waits.flatMap(({ value }) => value ?? []);
}

interface LeavingCase {
  readonly name: string;
  readonly tell: (fleet: DispatchFleet, hosts: readonly FixtureHost[]) => Promise<void>;
}

const LEAVING: readonly LeavingCase[] = [
  {
    name: 'the dispatcher knows it from the host list or a peer',
    tell: async (_, [dispatcher]) => {
      dispatcher?.membership.leavingBackendServers.add('engine-2');
      dispatcher?.membership.notify();
    },
  },
  {
    name: 'only its owner knows it',
    tell: async (_, [, owner]) => {
      owner?.membership.leavingBackendServers.add('engine-2');
    },
  },
  {
    name: 'it says so itself in a load report',
    tell: async (fleet) => {
      fleet.backend.loads.set('engine-2', { running: 0, waiting: 0, leaving: true });
      await fleet.clock.advance(1_100);
    },
  },
  {
    name: 'the configuration no longer has it',
    tell: async (fleet) => fleet.configuration.put(buildService(1)),
  },
];

LEAVING.forEach(({ name, tell }) => {
  t.test(`DispatcherService gives a leaving backend server nothing new: ${name}`, async (t) => {
    const fleet = new DispatchFleet({ service: buildService(2), slots: 4 });
    const [dispatcher, owner] = fleet.sortHosts();
    const before = await acquireMany(fleet, owner, 6);
    t.ok(before.some(({ backendServer }) => backendServer.id === 'engine-2'));
    await tell(fleet, [dispatcher, owner]);
    before.forEach((slot) => slot.release({ outcome: SlotOutcome.Answered, ...USE }));
    const after = await acquireMany(fleet, owner, 4);
    t.ok(after.length > 0);
    t.ok(after.every(({ backendServer }) => backendServer.id === 'engine-1'));
  });
});

t.test('DispatcherService takes over from another without overloading engines', async (t) => {
  // Symptom: engines get twice their window after a dispatcher died. Sequence:
  // its successor starts with all slots free, while the owners' requests run on.
  // Cause: knowing only its own grants. Load reports, late as they are, tell.
  const fleet = new DispatchFleet({ slots: 8 });
  const [dispatcher, next, owner] = fleet.sortHosts() as unknown as FixtureHost[];
  if (!dispatcher || !next || !owner) throw new Error('no hosts');
  t.equal((await acquireMany(fleet, owner, 8)).length, 8);
  fleet.backend.loads.set('engine-1', { running: 8, waiting: 0, leaving: false });
  fleet.kill(dispatcher);
  fleet.setState(dispatcher, PeerState.Suspected);
  await fleet.clock.advance(1_100);
  t.equal(
    (await acquireMany(fleet, owner, 8)).length,
    1,
    'one, so that a wrong report can not stop it',
  );
  await fleet.clock.advance(3_000);
  fleet.backend.loads.set('engine-1', { running: 1, waiting: 0, leaving: false });
  await fleet.clock.advance(1_100);
  t.equal(next.dispatcher.listQueues()[0]?.running, 8, 'the reports tell that they have ended');
});

t.test('DispatcherService does not believe stale load reports', async (t) => {
  // Symptom: slots stay free. Sequence: reports stop coming while they tell of
  // full engines. Cause: believing a report for ever.
  const fleet = new DispatchFleet({ slots: 4 });
  const [dispatcher] = fleet.sortHosts();
  fleet.backend.loads.set('engine-1', { running: 50, waiting: 9, leaving: false });
  await fleet.clock.advance(1_100);
  t.equal((await acquireMany(fleet, dispatcher, 4)).length, 1);
  fleet.backend.loads.delete('engine-1');
  await fleet.clock.advance(4_200);
  t.equal(dispatcher.dispatcher.listQueues()[0]?.running, 4);
});

t.test('DispatcherService asks only the backend servers of its own groups', async (t) => {
  const fleet = new DispatchFleet({ service: buildService(6, 1) });
  await fleet.clock.advance(3_050);
  const reads = new Map<string, number>();
  fleet.backend.reads.forEach((id) => reads.set(id, (reads.get(id) ?? 0) + 1));
  t.same([...reads.values()], [3, 3, 3, 3, 3, 3], 'each once a second, by one entry host');
});

t.test('DispatcherService.listGroupLoads() tells of the groups that it answers for', async (t) => {
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, owner] = fleet.sortHosts();
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
});

type Step =
  | { readonly kind: 'ask'; readonly host: number; readonly tier: Tier }
  | { readonly kind: 'release'; readonly index: number; readonly outcome: SlotOutcome }
  | { readonly kind: 'abort'; readonly index: number }
  | { readonly kind: 'cut' | 'heal'; readonly a: number; readonly b: number }
  | { readonly kind: 'wait'; readonly ms: number };

const HOST = fc.nat(3);

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      host: HOST,
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
      a: HOST,
      b: HOST,
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

t.test('SlotClient and DispatcherService lose no slot in any order of cuts', async (t) => {
  // Symptom: windows shrink over the days. Sequence: grants, releases, cancels and
  // refusals cross while links go and come back. Cause: a slot that neither the
  // owner holds nor the dispatcher has free.
  await fc.assert(
    fc.asyncProperty(fc.array(STEP, { maxLength: 40, size: 'max' }), async (steps) => {
      const fleet = new DispatchFleet({ hostIds: ['a', 'b', 'c', 'd'], service: buildService(2) });
      const asked: { seen: { value?: Slot; error?: unknown }; caller: AbortController }[] = [];
      const run = async (step: Step): Promise<void> => {
        const { hosts, hub } = fleet;
        if (step.kind === 'ask') {
          const caller = new AbortController();
          const wish = fleet.buildWish({ tier: step.tier, signal: caller.signal });
          const host = hosts[step.host] as FixtureHost;
          asked.push({ seen: watch(host.slots.acquire(wish)), caller });
        }
        const slots = asked.flatMap(({ seen }) => seen.value ?? []);
        if (step.kind === 'release')
          slots[step.index % Math.max(1, slots.length)]?.release({ outcome: step.outcome, ...USE });
        if (step.kind === 'abort') asked[step.index % Math.max(1, asked.length)]?.caller.abort();
        if ((step.kind === 'cut' || step.kind === 'heal') && step.a !== step.b)
          hub[step.kind]('abcd'.charAt(step.a), 'abcd'.charAt(step.b));
        await (step.kind === 'wait' ? fleet.clock.advance(step.ms) : settle());
      };
      for (const step of steps) await run(step);
      fleet.hub.healAll();
      asked.forEach(({ caller }) => caller.abort());
      await settle();
      asked.forEach(({ seen }) => seen.value?.release({ outcome: SlotOutcome.Answered, ...USE }));
      await fleet.clock.advance(200);
      t.ok(
        asked.every(({ seen }) => seen.value ?? seen.error),
        'every wish has ended, once',
      );
      const left = fleet.hosts.flatMap(({ dispatcher }) => dispatcher.listQueues());
      t.same(
        left
          .map(({ running, queued }) => [running, queued.standard])
          .flat()
          .filter(Boolean),
        [],
      );
    }),
    { seed: 42, numRuns: 60 },
  );
});

t.test('DispatcherService forgets a waiting owner whose link is gone', async (t) => {
  const fleet = new DispatchFleet({ slots: 1 });
  const [dispatcher, owner] = fleet.sortHosts();
  await dispatcher.slots.acquire(fleet.buildWish());
  watch(owner.slots.acquire(fleet.buildWish()));
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
