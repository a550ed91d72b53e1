import t from 'tap';
import fc from 'fast-check';
import { pickByRendezvous, pickByWeight, sortByRendezvous } from './mod.js';

const OPTIONS = { seed: 42, numRuns: 300 };
const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 12 }), {
  minLength: 1,
  maxLength: 20,
});

t.test('pickByRendezvous() does not depend on the order of candidates', async (t) => {
  const seen = names.chain((candidates) =>
    fc.tuple(
      fc.string(),
      fc.constant(candidates),
      fc.shuffledSubarray(candidates, { minLength: candidates.length }),
    ),
  );
  fc.assert(
    fc.property(
      seen,
      ([key, one, other]) => pickByRendezvous(key, one) === pickByRendezvous(key, other),
    ),
    OPTIONS,
  );
  t.equal(pickByRendezvous('key', []), undefined);
});

t.test('pickByRendezvous() moves only the keys of a removed candidate', async (t) => {
  fc.assert(
    fc.property(fc.string(), names, fc.nat(), (key, candidates, position) => {
      const gone = candidates[position % candidates.length];
      const before = pickByRendezvous(key, candidates);
      const rest = candidates.filter((name) => name !== gone);
      return before === gone || pickByRendezvous(key, rest) === before;
    }),
    OPTIONS,
  );
  t.pass();
});

t.test('pickByRendezvous() spreads keys evenly', async (t) => {
  const candidates = Array.from({ length: 8 }, (_item, index) => `incarnation-${index}`);
  const counts = new Map<string, number>();
  for (let key = 0; key < 8_000; key += 1) {
    const picked = pickByRendezvous(`service/${key}`, candidates) ?? '';
    counts.set(picked, (counts.get(picked) ?? 0) + 1);
  }
  t.equal(counts.size, 8);
  // Eight standard deviations of a uniform distribution are about 240.
  counts.forEach((count, name) => t.ok(Math.abs(count - 1_000) < 240, `${name}: ${count}`));
});

t.test('sortByRendezvous() starts with the pick of pickByRendezvous()', async (t) => {
  const candidates = ['a', 'b', 'c', 'd'];
  for (let key = 0; key < 50; key += 1) {
    const sorted = sortByRendezvous(String(key), candidates);
    t.equal(sorted[0], pickByRendezvous(String(key), candidates));
    const left = candidates.filter((name) => name !== sorted[0]);
    t.equal(sorted[1], pickByRendezvous(String(key), left));
  }
});

t.test('pickByWeight() picks candidates in proportion to their weights', async (t) => {
  // Guards against permanently late answers of a machine with a quarter of the others'
  // processor capacity, which happen when callers spread evenly over unequal machines.
  const strong = Array.from({ length: 6 }, (_, index) => ({ name: `s-${index}`, weight: 1.35 }));
  const weak = Array.from({ length: 56 }, (_, index) => ({ name: `w-${index}`, weight: 0.324 }));
  const counts = new Map<string, number>();
  for (let caller = 0; caller < 3_000; caller += 1) {
    pickByWeight(`10.0.0.${caller}`, [...strong, ...weak], 12).forEach((name) => {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    });
  }
  const average = (hosts: readonly { readonly name: string }[]): number =>
    hosts.reduce((sum, { name }) => sum + (counts.get(name) ?? 0), 0) / hosts.length;
  const ratio = average(strong) / average(weak);
  t.ok(ratio > 2.8 && ratio < 4.2, String(ratio));
});

t.test('pickByWeight() keeps the other picks of a caller when one host is removed', async (t) => {
  const all = Array.from({ length: 30 }, (_, index) => ({ name: `h-${index}`, weight: 1 }));
  const before = pickByWeight('10.0.0.1', all, 12);
  const left = all.filter(({ name }) => name !== before[3]);
  const after = pickByWeight('10.0.0.1', left, 12);
  t.equal(after.filter((name) => before.includes(name)).length, 11);
});
