import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import t from 'tap';
import { sortByRendezvous } from '../membership/mod.js';
import { countUsedSlots, splitSlots, SlotPacer } from './mod.js';
import type { SlottedServer } from './slot_split.js';

const RUNS = { seed: 45, numRuns: 60 };

const FLEET = fc.record({
  hosts: fc.integer({ min: 1, max: 60 }),
  servers: fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 20 }),
});

function buildHostIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `h-${index}`);
}

/** Deals slots one at a time to the next host that has less than its even part. */
function dealOneByOne(
  servers: readonly SlottedServer[],
  hostIds: readonly string[],
): [string, number][][] {
  const total = servers.reduce((sum, { slots }) => sum + countUsedSlots(slots), 0);
  const dealt = new Map(hostIds.map((id) => [id, new Map<string, number>()]));
  const countDealt = (hostId: string): number =>
    [...(dealt.get(hostId)?.values() ?? [])].reduce((sum, count) => sum + count, 0);
  servers.forEach(({ id, slots }) => {
    const order = sortByRendezvous(id, hostIds);
    let next = 0;
    for (let left = countUsedSlots(slots); left > 0; next += 1) {
      const hostId = order[next % order.length] ?? '';
      const own = dealt.get(hostId);
      if (own && countDealt(hostId) < Math.ceil(total / hostIds.length)) {
        own.set(id, (own.get(id) ?? 0) + 1);
        left -= 1;
      }
    }
  });
  return hostIds.map((hostId) => [...(dealt.get(hostId) ?? [])]);
}

t.test('hosts that know the same hosts and servers never share a slot, and use all', async () => {
  fc.assert(
    fc.property(FLEET, ({ hosts, servers }) => {
      const hostIds = buildHostIds(hosts);
      const slotted = servers.map((slots, index) => ({ id: `s-${index}`, slots }));
      const parts = hostIds.map((id) => splitSlots(slotted, hostIds, id));
      const totals = parts.map((part) => [...part.values()].reduce((sum, count) => sum + count, 0));
      const isFull = slotted.every(({ id, slots }) => {
        const used = parts.reduce((sum, part) => sum + (part.get(id) ?? 0), 0);
        return used === (slots < 5 ? slots : slots - 1);
      });
      const all = totals.reduce((sum, count) => sum + count, 0);
      return isFull && Math.max(...totals) <= Math.ceil(all / hosts);
    }),
    RUNS,
  );
});

t.test('splitSlots() ends whatever number of slots a server claims', async (t) => {
  // Guards against hosts that hang since an odd registry entry claims very many slots.
  const claims = [200_000_000, 9e15, Number.MAX_SAFE_INTEGER];
  const hostIds = buildHostIds(3);
  claims.forEach((slots) => {
    const servers = [0, 1, 2, 3].map((index) => ({ id: `odd-${index}`, slots }));
    const parts = hostIds.map((id) => splitSlots([...servers, { id: 's', slots: 4 }], hostIds, id));
    const dealt = parts.reduce((sum, part) => sum + (part.get('odd-0') ?? 0), 0);
    t.equal(dealt, slots - 1, `${slots}`);
  });
});

t.test('splitSlots() deals whole rounds as it would deal slot by slot', async () => {
  const fleet = fc.record({
    hosts: fc.integer({ min: 1, max: 12 }),
    servers: fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 8 }),
  });
  fc.assert(
    fc.property(fleet, ({ hosts, servers }) => {
      const hostIds = buildHostIds(hosts);
      const slotted = servers.map((slots, index) => ({ id: `s-${index}`, slots }));
      const parts = hostIds.map((id) => [...splitSlots(slotted, hostIds, id)]);
      return isDeepStrictEqual(parts, dealOneByOne(slotted, hostIds));
    }),
    RUNS,
  );
});

t.test('SlotPacer keeps to its slots, and counts requests that were broken off', async (t) => {
  const pacer = new SlotPacer();
  t.ok(pacer.maySend(0, 100), 'no limit');
  pacer.configure({ slots: 2, pauseMs: 3_000 }, 0);
  t.ok(pacer.maySend(0, 1));
  t.notOk(pacer.maySend(0, 2));
  pacer.recordSent(0);
  t.notOk(pacer.maySend(5, 0), 'a refusal may be on its way');
  t.ok(pacer.maySend(10, 0));
  pacer.recordBrokenOff(10);
  t.notOk(pacer.maySend(900, 1));
  t.ok(pacer.maySend(1_010, 1));
});

t.test(
  'SlotPacer pauses after a refusal, briefly while servers are still overfilled',
  async (t) => {
    const pacer = new SlotPacer();
    pacer.configure({ slots: 2, pauseMs: 3_000 }, 0);
    pacer.recordDeclined(100);
    t.notOk(pacer.maySend(340, 0));
    t.ok(pacer.maySend(350, 0));
    pacer.recordDeclined(5_000);
    t.notOk(pacer.maySend(7_900, 0));
    t.ok(pacer.maySend(8_000, 0));
  },
);
