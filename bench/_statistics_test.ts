import fc from 'fast-check';
import t from 'tap';
import { computeLatency, fitLine } from './_statistics.js';

t.test('fitLine() finds the line through collinear points', async () => {
  const number = fc.integer({ min: -1000, max: 1000 });
  fc.assert(
    fc.property(number, number, (slope, intercept) => {
      const points = [1, 2, 5, 9].map((x) => ({ x, y: slope * x + intercept }));
      const line = fitLine(points);
      return Math.abs(line.slope - slope) < 1e-6 && Math.abs(line.intercept - intercept) < 1e-6;
    }),
    { seed: 42, numRuns: 100 },
  );
});

t.test('fitLine() computes the goodness of fit', async (t) => {
  const points = [0, 1, 2, 3].map((x) => ({ x, y: x % 2 }));
  t.ok(fitLine(points).r2 < 0.5);
  t.equal(fitLine(points.map(({ x }) => ({ x, y: 2 * x }))).r2, 1);
});

t.test('computeLatency() resolves tenths of a millisecond and long times', async (t) => {
  const { p50, max, count } = computeLatency([0.1, 0.1, 120_000]);
  t.equal(p50, 0.1);
  t.ok(Math.abs(max - 120_000) < 200);
  t.equal(count, 3);
});
