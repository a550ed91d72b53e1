import fc from 'fast-check';
import t from 'tap';
import { toUrgencyFigures, UrgencySums } from './_urgency_sums.js';

t.test('UrgencySums replaces what a process reported before', async (t) => {
  // Guards against figures that count twice, or stay after their host is gone.
  const sums = new UrgencySums();
  sums.set('a-1', { engines: { 0: 3, 2: 0.25 } });
  sums.set('b-1', { engines: { 0: 1 }, plain: { 4: 2 } });
  t.same(
    [...sums.get('engines')],
    [
      [0, 4],
      [2, 0.25],
    ],
  );
  sums.set('a-1', { engines: { 0: 2 } });
  t.same([...sums.get('engines')], [[0, 3]]);
  sums.set('b-1', undefined);
  t.same([...sums.get('engines')], [[0, 2]]);
  t.equal(sums.get('plain').size, 0);
});

t.test('UrgencySums adds up the sources of a report only, whichever way is shorter', async () => {
  const figures = fc.dictionary(
    fc.constantFrom('engines', 'plain'),
    fc.dictionary(fc.constantFrom('0', '1', '2'), fc.integer({ min: 1, max: 9 })),
  );
  fc.assert(
    fc.property(fc.array(figures, { minLength: 1, maxLength: 9 }), fc.nat(9), (all, count) => {
      const sums = new UrgencySums();
      all.forEach((reported, index) => sums.set(`p-${index}`, reported));
      const sources = all.map((_reported, index) => `p-${index}`).slice(0, count);
      const expected = new UrgencySums();
      all.slice(0, count).forEach((reported, index) => expected.set(`p-${index}`, reported));
      const own = { engines: { 1: 5 } };
      const actual = sums.sum(own, sources);
      const others = expected.sum(own, sources);
      return ['engines', 'plain'].every((id) =>
        ['0', '1', '2'].every((key) => (actual[id]?.[key] ?? 0) === (others[id]?.[key] ?? 0)),
      );
    }),
    { seed: 51, numRuns: 200 },
  );
});

t.test('toUrgencyFigures() bounds what is reported, whatever ranks exist', async (t) => {
  const figures = new Map(Array.from({ length: 500 }, (_, urgency) => [urgency, 1] as const));
  const reported = toUrgencyFigures(figures);
  t.equal(Object.keys(reported).length, 32);
  t.equal(reported['31'], 469);
});
