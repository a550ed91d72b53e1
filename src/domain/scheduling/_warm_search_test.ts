import fc from 'fast-check';
import t from 'tap';
import {
  ANSWERED,
  buildDemand,
  buildSpecs,
  createGroup,
} from '../../../test/support/group_fixture.js';
import { MAX_HOLD_MS, MAX_LEAD_MS } from './_warm_search.js';
import { FairQueue, Tier } from './mod.js';
import type { Placer, SlotDemand, WaitingDemand } from './mod.js';

const PREFIX = Array.from({ length: 16 }, (_, index) => `shared-${index}`);

function buildWaiting(key: string, changes: Partial<SlotDemand>, workMs: number): WaitingDemand {
  return { demand: buildDemand(key, changes), workMs, lateAtMs: Infinity };
}

/** One place, whose cache holds what the account `warm` sends. */
const PLACER: Placer<string> = {
  hasRoom: () => true,
  pickPlace: () => 'engine-1',
  predictRepeated: ({ demand }) => (demand.accountId.startsWith('warm') ? 0 : 1024),
};

t.test('FairQueue keeps shares although one account always suits the cache', async (t) => {
  // Symptom: an account gets a tenth of its share. Sequence: the free slot's
  // cache always holds another's prefix. Cause: taking the warm one each time.
  const account = fc.record({
    weight: fc.integer({ min: 1, max: 8 }),
    workMs: fc.integer({ min: 50, max: 5000 }),
  });
  fc.assert(
    fc.property(account, account, (warm, cold) => {
      const queue = new FairQueue();
      const served = { warm: 0, cold: 0 };
      let last = 0;
      const refill = (name: 'warm' | 'cold'): void => {
        const { weight, workMs } = name === 'warm' ? warm : cold;
        last += 1;
        queue.add(buildWaiting(`${name}/${last}`, { accountId: name, weight }, workMs));
      };
      [1, 2, 3].forEach(() => ['warm' as const, 'cold' as const].forEach(refill));
      let isAhead = false;
      for (let grant = 0; grant < 1500; grant += 1) {
        const { demand, workMs } = queue.takeFirst(0, PLACER)?.waiting ?? buildWaiting('', {}, 0);
        const name = demand.accountId as 'warm' | 'cold';
        served[name] += workMs / demand.weight;
        refill(name);
        const lead = served.warm - served.cold;
        const slack = warm.workMs / warm.weight + cold.workMs / cold.weight;
        if (lead > MAX_LEAD_MS + 2 * slack) throw new Error(`${lead} ms ahead`);
        isAhead ||= lead > slack;
      }
      t.ok(isAhead, 'the warm one did go ahead');
    }),
    { seed: 42, numRuns: 60 },
  );
});

t.test('FairQueue holds a tier for a bounded time, and lets no lower one past', async (t) => {
  // Symptom: a slot stays free for seconds. Sequence: requests keep coming, and
  // each finds the free engine cold. Cause: a time limit of each for itself.
  const queue = new FairQueue();
  const placer: Placer<string> = { ...PLACER, isWorthHolding: () => true };
  queue.add(buildWaiting('batch', { tier: Tier.Batch, accountId: 'warm' }, 100));
  let grantedAtMs = 0;
  let grants = 0;
  for (let nowMs = 0; nowMs < 3_000; nowMs += 10) {
    const accountId = `cold-${nowMs % 7}`;
    queue.add(buildWaiting(`${nowMs}`, { accountId, deadlineAtMs: 90_000 - nowMs }, 100));
    const key = queue.takeFirst(nowMs, placer)?.waiting.demand.key;
    t.not(key, 'batch');
    if (key !== undefined) {
      t.ok(nowMs - grantedAtMs <= MAX_HOLD_MS + 10, `free for ${nowMs - grantedAtMs} ms`);
      grantedAtMs = nowMs;
      grants += 1;
    }
  }
  t.ok(grants >= 3_000 / (MAX_HOLD_MS + 10) - 1);
});

t.test('GroupScheduler gives a free slot to the request whose prefix is there', async (t) => {
  const group = createGroup(buildSpecs(2, 1));
  ['engine-0', 'engine-1'].forEach((id, index) =>
    PREFIX.forEach((hash) => group.pool.findServer(id)?.hints.noteStored(`${index}/${hash}`, 0)),
  );
  const submit = (key: string, prefix: number): void => {
    const blockHashes = PREFIX.map((hash) => `${prefix}/${hash}`);
    const demand = buildDemand(key, { blockHashes, promptTokens: 2000, waitingSinceMs: 0 });
    group.submit({ ...demand, deadlineAtMs: 60_000 + Number(key) }, 0);
  };
  [0, 1].forEach((prefix) => submit(String(prefix), prefix));
  group.run(0);
  t.equal(group.pool.heldCount, 2);
  // Earliest deadline first: 2 and 3 stand ahead of 4, but only 4 suits engine-0.
  [1, 1, 0].forEach((prefix, index) => submit(String(index + 2), prefix));
  const held = group.pool.listHeld().find(({ serverId }) => serverId === 'engine-0');
  group.release(held?.grantId ?? 0, ANSWERED, 500);
  group.run(500);
  const next = group.pool.listHeld().find(({ serverId }) => serverId === 'engine-0');
  t.equal(next?.demand.key, '4');
});
