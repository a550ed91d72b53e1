import fc from 'fast-check';
import t from 'tap';
import { splitSlots, SlotPacer } from './mod.js';

const RUNS = { seed: 45, numRuns: 60 };

const FLEET = fc.record({
  hosts: fc.integer({ min: 1, max: 60 }),
  servers: fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 20 }),
});

function buildHostIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `h-${index}`);
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
