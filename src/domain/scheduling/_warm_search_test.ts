import fc from 'fast-check';
import t from 'tap';
import {
  HEALTHY_RESULT,
  buildDemand,
  buildSpecs,
  createGroup,
} from '../../../test/support/group_fixture.js';
import { MAX_CACHE_DELAY_MS, MAX_LEAD_MS } from './_warm_search.js';
import { FairQueue, Tier } from './mod.js';
import type { Placer, SlotDemand, WaitingDemand } from './mod.js';

const PREFIX = Array.from({ length: 16 }, (_, index) => `shared-${index}`);

function buildWaiting(key: string, changes: Partial<SlotDemand>, workMs: number): WaitingDemand {
  return { demand: buildDemand(key, changes), workMs, latestStartAtMs: Infinity };
}

/** One target, whose cache holds the prefixes of the account `warm`. */
const ONE_WARM_SERVER: Placer<string> = {
  hasCapacity: () => true,
  pickTarget: () => 'engine-1',
  predictRecomputedTokens: ({ demand }) => (demand.accountId.startsWith('warm') ? 0 : 1024),
};

t.test('FairQueue keeps shares even if one account always matches the cache', async (t) => {
  // Guards against an account that gets a tenth of its share because the free
  // slot's cache always holds another account's prefix, and the warm request is
  // taken each time.
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
        const { demand, workMs } =
          queue.takeFirst(0, ONE_WARM_SERVER)?.waiting ?? buildWaiting('', {}, 0);
        const name = demand.accountId as 'warm' | 'cold';
        served[name] += workMs / demand.weight;
        refill(name);
        const lead = served.warm - served.cold;
        const slack = warm.workMs / warm.weight + cold.workMs / cold.weight;
        if (lead > MAX_LEAD_MS + 2 * slack) throw new Error(`${lead} ms ahead`);
        isAhead ||= lead > slack;
      }
      t.ok(isAhead, 'the warm account did get ahead');
    }),
    { seed: 42, numRuns: 60 },
  );
});

t.test('FairQueue delays a tier for a bounded time, and lets no lower tier overtake', async (t) => {
  // Guards against a slot that stays idle for seconds while requests keep
  // arriving and each finds the free engine cold, which happens if every
  // request has a time limit of its own.
  const queue = new FairQueue();
  const placer: Placer<string> = { ...ONE_WARM_SERVER, isWorthDelaying: () => true };
  queue.add(buildWaiting('batch', { tier: Tier.Batch, accountId: 'warm' }, 100));
  let grantedAtMs = 0;
  let grants = 0;
  for (let nowMs = 0; nowMs < 3_000; nowMs += 10) {
    const accountId = `cold-${nowMs % 7}`;
    queue.add(buildWaiting(`${nowMs}`, { accountId, deadlineAtMs: 90_000 - nowMs }, 100));
    const key = queue.takeFirst(nowMs, placer)?.waiting.demand.key;
    t.not(key, 'batch');
    if (key !== undefined) {
      t.ok(nowMs - grantedAtMs <= MAX_CACHE_DELAY_MS + 10, `idle for ${nowMs - grantedAtMs} ms`);
      grantedAtMs = nowMs;
      grants += 1;
    }
  }
  t.ok(grants >= 3_000 / (MAX_CACHE_DELAY_MS + 10) - 1);
});

t.test(
  'GroupScheduler gives a free slot to the request whose prefix is cached there',
  async (t) => {
    const group = createGroup(buildSpecs(2, 1));
    ['engine-0', 'engine-1'].forEach((id, index) =>
      PREFIX.forEach((hash) =>
        group.pool.findServer(id)?.hints.recordStored(`${index}/${hash}`, 0),
      ),
    );
    const submit = (key: string, prefix: number): void => {
      const blockHashes = PREFIX.map((hash) => `${prefix}/${hash}`);
      const demand = buildDemand(key, { blockHashes, promptTokens: 2000, waitingSinceMs: 0 });
      group.submit({ ...demand, deadlineAtMs: 60_000 + Number(key) }, 0);
    };
    [0, 1].forEach((prefix) => submit(String(prefix), prefix));
    group.run(0);
    t.equal(group.pool.heldCount, 2);
    // Earliest deadline first: requests 2 and 3 are ahead of 4, but only 4
    // matches engine-0's cache.
    [1, 1, 0].forEach((prefix, index) => submit(String(index + 2), prefix));
    const held = group.pool.listHeld().find(({ serverId }) => serverId === 'engine-0');
    group.release(held?.grantId ?? 0, HEALTHY_RESULT, 500);
    group.run(500);
    const next = group.pool.listHeld().find(({ serverId }) => serverId === 'engine-0');
    t.equal(next?.demand.key, '4');
  },
);
