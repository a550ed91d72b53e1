import fc from 'fast-check';
import t from 'tap';
import {
  buildDefaultPlan,
  computePlanDurationMs,
  listArrivals,
  LoadRandom,
  parseLoadPlan,
} from './mod.js';
import type { LoadPlan } from './mod.js';

function buildPlan(requestsPerSecond: number): LoadPlan {
  return buildDefaultPlan({
    model: 'm',
    service: 's',
    requestsPerSecond,
    seconds: 20,
    accounts: [
      { id: 'large', apiKey: 'a' },
      { id: 'small', apiKey: 'b' },
    ],
  });
}

t.test('listArrivals() is deterministic for a seed and differs between seeds', async (t) => {
  const plan = buildPlan(20);
  const draw = (seed: number): string => JSON.stringify(listArrivals(plan, new LoadRandom(seed)));
  const first = draw(7);
  t.ok(draw(7) === first);
  t.notOk(draw(8) === first);
});

t.test(
  'listArrivals() keeps the order of times, and the lengths and rate of its plan',
  async () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1e6 }),
        fc.integer({ min: 20, max: 100 }),
        (seed, rate) => {
          const plan = buildPlan(rate);
          const arrivals = listArrivals(plan, new LoadRandom(seed));
          const expected = (rate * computePlanDurationMs(plan)) / 1000;
          const isNearRate = Math.abs(arrivals.length - expected) < 6 * Math.sqrt(expected);
          const isOrdered = arrivals.every(
            (arrival, index) => index === 0 || arrival.atMs >= (arrivals[index - 1]?.atMs ?? 0),
          );
          const isInRange = arrivals.every(
            ({ promptTokens, work }) =>
              promptTokens >= work.promptTokens[0] && promptTokens <= work.promptTokens[1],
          );
          return isNearRate && isOrdered && isInRange;
        },
      ),
      { seed: 42, numRuns: 50 },
    );
  },
);

t.test('parseLoadPlan() reports every fault', async (t) => {
  const faulty = {
    phases: [{ name: 'p', seconds: 1 }],
    accounts: [{ id: '' }],
    work: [],
  };
  t.throws(() => parseLoadPlan(faulty), /phases\.0: exactly one.*accounts\.0\.id.*work/s);
  const unbounded = { ...buildPlan(1), phases: [{ name: 'p', seconds: 1, capacityMultiple: 2 }] };
  const work = unbounded.work.map((each) => ({ ...each, tier: 'urgent' as const }));
  t.throws(() => parseLoadPlan({ ...unbounded, work }), /needs capacityRequestsPerSecond/);
});
