import fc from 'fast-check';
import t from 'tap';
import { compareEras, comparePositions, pickLater } from './mod.js';

const SEED = 42;

const position = fc.record({ era: fc.nat(3), revision: fc.nat(5) });

t.test('comparePositions() is a total order in which eras go before revisions', async () => {
  fc.assert(
    fc.property(position, position, position, (a, b, c) => {
      const isEqual = a.era === b.era && a.revision === b.revision;
      return (
        Math.sign(comparePositions(a, b)) === -Math.sign(comparePositions(b, a)) &&
        (comparePositions(a, b) === 0) === isEqual &&
        (comparePositions(a, b) > 0 || comparePositions(b, c) > 0 || comparePositions(a, c) <= 0) &&
        (compareEras(a, b) === 0 ||
          Math.sign(comparePositions(a, b)) === Math.sign(compareEras(a, b)))
      );
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});

t.test('pickLater() joins positions in any order and grouping', async () => {
  fc.assert(
    fc.property(position, position, position, (a, b, c) => {
      const left = pickLater(pickLater(a, b), c);
      const right = pickLater(a, pickLater(c, b));
      return comparePositions(left, right) === 0 && comparePositions(left, a) >= 0;
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
