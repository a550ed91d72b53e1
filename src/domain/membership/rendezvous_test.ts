import t from 'tap';
import fc from 'fast-check';
import { pickByRendezvous } from './mod.js';

const OPTIONS = { seed: 42, numRuns: 300 };
const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 12 }), {
  minLength: 1,
  maxLength: 20,
});

t.test('pickByRendezvous() picks the same whatever the order of candidates', async (t) => {
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

t.test('pickByRendezvous() moves only the keys of a candidate that goes', async (t) => {
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
  // Eight standard deviations of a fair draw are about 240.
  counts.forEach((count, name) => t.ok(Math.abs(count - 1_000) < 240, `${name}: ${count}`));
});
