import fc from 'fast-check';
import t from 'tap';
import {
  AGED_GRANT_INTERVAL,
  AGED_WORK_FRACTION,
  FairQueue,
  STARVATION_BOUND_MS,
  Tier,
  TIERS,
} from './mod.js';
import type { Placer, SlotDemand, WaitingDemand } from './mod.js';

const ALWAYS_PLACED: Placer<string> = { hasCapacity: () => true, pickTarget: () => 'engine-1' };

const TIER = fc.constantFrom(...TIERS);

function buildWaiting(key: string, changes: Partial<SlotDemand> = {}, workMs = 100): WaitingDemand {
  const demand: SlotDemand = {
    key,
    accountId: 'firm-a',
    weight: 1,
    tier: Tier.Standard,
    deadlineAtMs: 1_000_000,
    waitingSinceMs: 0,
    promptTokens: 0,
    expectedOutputTokens: 0,
    blockHashes: [],
    excluded: [],
    ...changes,
  };
  return { demand, workMs, latestStartAtMs: Infinity };
}

function takeAll(queue: FairQueue, nowMs = 0): string[] {
  const keys: string[] = [];
  for (
    let next = queue.takeFirst(nowMs, ALWAYS_PLACED);
    next;
    next = queue.takeFirst(nowMs, ALWAYS_PLACED)
  )
    keys.push(next.waiting.demand.key);
  return keys;
}

t.test(
  'FairQueue takes higher tiers first, then earlier deadlines within an account',
  async (t) => {
    const arrivals = fc.array(fc.record({ tier: TIER, deadlineAtMs: fc.nat(1000) }), {
      size: 'max',
      maxLength: 60,
    });
    fc.assert(
      fc.property(arrivals, (demands) => {
        const queue = new FairQueue();
        demands.forEach((demand, index) => queue.add(buildWaiting(String(index), demand)));
        const taken = takeAll(queue).map((key) => demands[Number(key)]);
        const expected = [...demands].sort(
          (a, b) => a.tier - b.tier || a.deadlineAtMs - b.deadlineAtMs,
        );
        t.same(taken, expected);
      }),
      { seed: 42, numRuns: 200 },
    );
  },
);

t.test('FairQueue shares work between accounts by their weights', async (t) => {
  // Guards against one account's flood taking the whole fleet, which happens if
  // requests are counted instead of work, or if a long queue earns a larger
  // share.
  const accounts = fc.array(
    fc.record({
      weight: fc.integer({ min: 1, max: 8 }),
      works: fc.array(fc.integer({ min: 10, max: 1000 }), { minLength: 1, maxLength: 5 }),
    }),
    { minLength: 2, maxLength: 5 },
  );
  fc.assert(
    fc.property(accounts, (flows) => {
      const queue = new FairQueue();
      const served = flows.map(() => 0);
      let last = 0;
      const refill = (index: number): void => {
        const flow = flows[index];
        if (!flow) return;
        const workMs = flow.works[last % flow.works.length] ?? 1;
        last += 1;
        const changes = { accountId: String(index), weight: flow.weight };
        queue.add(buildWaiting(`${index}/${last}`, changes, workMs));
      };
      flows.forEach((_, index) => [1, 2, 3].forEach(() => refill(index)));
      for (let grant = 0; grant < 1500; grant += 1) {
        const taken = queue.takeFirst(0, ALWAYS_PLACED);
        const index = Number(taken?.waiting.demand.accountId);
        served[index] = (served[index] ?? 0) + (taken?.waiting.workMs ?? 0);
        refill(index);
      }
      const shares = served.map((work, index) => work / (flows[index]?.weight ?? 1));
      // Start-time fair queuing: no two accounts differ by more than one
      // request of each.
      const slack = Math.max(...flows.flatMap(({ weight, works }) => works.map((w) => w / weight)));
      t.ok(Math.max(...shares) - Math.min(...shares) <= 2 * slack, JSON.stringify(shares));
    }),
    { seed: 42, numRuns: 60 },
  );
});

t.test(
  'FairQueue grants demands that waited past the bound, whatever higher tiers bring',
  async (t) => {
    // Guards against overnight work that never runs because higher tiers always
    // bring more load than there is capacity, under a strict order of tiers.
    const works = fc.array(fc.integer({ min: 10, max: 5000 }), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(works, fc.integer({ min: 10, max: 5000 }), (agedWorks, rivalWorkMs) => {
        const queue = new FairQueue();
        agedWorks.forEach((workMs, index) => {
          const changes = { tier: Tier.Batch, waitingSinceMs: index, accountId: 'night' };
          queue.add(buildWaiting(`aged-${index}`, changes, workMs));
        });
        const nowMs = STARVATION_BOUND_MS + agedWorks.length;
        let grants = 0;
        agedWorks.forEach((_, index) => {
          // The documented bound: so many grants, and so much work, after the
          // previous aged grant.
          const beforeMs = agedWorks[index - 1] ?? 0;
          const mostGrants = Math.max(
            AGED_GRANT_INTERVAL,
            Math.ceil(beforeMs / AGED_WORK_FRACTION / rivalWorkMs) + 1,
          );
          let key = '';
          for (let grant = 0; grant < mostGrants && !key.startsWith('aged'); grant += 1) {
            grants += 1;
            const rival = { tier: Tier.Urgent, waitingSinceMs: nowMs };
            queue.add(buildWaiting(`rival-${grants}`, rival, rivalWorkMs));
            key = queue.takeFirst(nowMs, ALWAYS_PLACED)?.waiting.demand.key ?? '';
          }
          t.equal(key, `aged-${index}`);
        });
      }),
      { seed: 42, numRuns: 100 },
    );
  },
);

t.test('FairQueue gives aged demands no more than their fraction of the work', async (t) => {
  // Guards against urgent requests that run late although they are scheduled
  // first. Batch requests a hundred times as long age behind them; one aged
  // grant in eight, counted in grants rather than work, would take most of the
  // slot time.
  const queue = new FairQueue();
  let agedMs = 0;
  let allMs = 0;
  for (let grant = 0; grant < 4000; grant += 1) {
    queue.add(buildWaiting(`audit-${grant}`, { tier: Tier.Batch }, 10_000));
    queue.add(buildWaiting(`lookup-${grant}`, { tier: Tier.Urgent, waitingSinceMs: 99_000 }, 100));
    const taken = queue.takeFirst(100_000, ALWAYS_PLACED)?.waiting;
    allMs += taken?.workMs ?? 0;
    if (taken?.demand.tier === Tier.Batch) agedMs += taken.workMs;
  }
  t.ok(agedMs > 0 && agedMs <= 0.05 * allMs + 10_000, `${agedMs} of ${allMs}`);
});

t.test('FairQueue gives at most one in eight grants to aged demands of a lower tier', async (t) => {
  const queue = new FairQueue();
  for (let index = 0; index < 100; index += 1) {
    queue.add(buildWaiting(`aged-${index}`, { tier: Tier.Batch }, 1));
    queue.add(buildWaiting(`urgent-${index}`, { tier: Tier.Urgent, waitingSinceMs: 40_000 }, 100));
  }
  const order = takeAll(queue, 40_001).slice(0, 80);
  const aged = order.filter((key) => key.startsWith('aged')).length;
  t.equal(aged, 10);
});

t.test('FairQueue skips a demand that no free backend server may serve', async (t) => {
  const queue = new FairQueue();
  queue.add(buildWaiting('stuck', { tier: Tier.Urgent }));
  queue.add(buildWaiting('same-account', { deadlineAtMs: 2_000_000, tier: Tier.Urgent }));
  queue.add(buildWaiting('lower', { tier: Tier.Batch }));
  const placer: Placer<string> = {
    hasCapacity: () => true,
    pickTarget: ({ demand }) => (demand.key === 'stuck' ? undefined : 'engine-1'),
  };
  t.equal(queue.takeFirst(0, placer)?.waiting.demand.key, 'same-account');
  t.equal(queue.takeFirst(0, placer)?.waiting.demand.key, 'lower');
  t.equal(queue.takeFirst(0, placer), undefined);
  t.equal(queue.size, 1);
});

t.test(
  'FairQueue.computeWorkAheadMs() predicts the work granted before a new demand',
  async (t) => {
    const item = fc.record({
      tier: TIER,
      accountId: fc.constantFrom('a', 'b', 'c'),
      workMs: fc.integer({ min: 1, max: 50 }),
      deadlineAtMs: fc.nat(1000),
    });
    fc.assert(
      fc.property(fc.array(item, { maxLength: 30, size: 'max' }), item, (items, last) => {
        const queue = new FairQueue();
        items.forEach(({ workMs, ...demand }, index) =>
          queue.add(buildWaiting(String(index), demand, workMs)),
        );
        const added = buildWaiting('last', last, last.workMs);
        const predicted = queue.computeWorkAheadMs(added.demand);
        queue.add(added);
        const order = takeAll(queue);
        const ahead = order
          .slice(0, order.indexOf('last'))
          .reduce((sum, key) => sum + (items[Number(key)]?.workMs ?? 0), 0);
        // For each other account, one request more or less than its share may go
        // first.
        t.ok(Math.abs(ahead - predicted) <= 2 * 50, `${ahead} for ${predicted}`);
      }),
      { seed: 42, numRuns: 200 },
    );
  },
);
