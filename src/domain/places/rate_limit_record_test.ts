import fc from 'fast-check';
import t from 'tap';
import { RateLimitRecord } from './mod.js';
import type { RateLimitState } from './mod.js';

const RUN_OPTIONS = { seed: 39, numRuns: 300 };

const states: fc.Arbitrary<RateLimitState> = fc.record({
  version: fc.integer({ min: 1, max: 6 }),
  requestsPerSecond: fc.constantFrom(undefined, 0, 0.2, 1.4, 30),
});

t.test(
  'observe() takes a limit from any answer, and its end only from a later request',
  async (t) => {
    // Guards against answers that were on their way for long: they would end a limit just named.
    const record = new RateLimitRecord();
    t.equal(record.observe(undefined, 0, 10), false);
    t.equal(record.observe(1.4, 20, 100), true);
    t.equal(record.observe(undefined, 99, 120), false);
    t.equal(record.observe(3, 99, 130), false);
    t.equal(record.observe(0.7, 99, 140), true);
    t.same(record.state, { version: 2, requestsPerSecond: 0.7 });
    t.equal(record.observe(3, 141, 200), true);
    t.equal(record.observe(undefined, 201, 300), true);
    t.same(record.state, { version: 4, requestsPerSecond: undefined });
  },
);

t.test('observe() renews the evidence without a new version', async (t) => {
  const record = new RateLimitRecord();
  record.observe(2, 0, 100);
  record.observe(2, 90, 5_000);
  t.same(record.state, { version: 1, requestsPerSecond: 2 });
  t.equal(record.computeEvidenceAgeMs(5_500), 500);
  t.equal(record.adoptedAtMs, 100);
});

t.test('merge() leads to the same state in whatever order peers report', async (t) => {
  // Guards against hosts that keep different limits for good since they heard of them differently.
  fc.assert(
    fc.property(fc.array(states, { minLength: 1 }), (reported) => {
      const ends = [reported, [...reported].reverse()].map((order) => {
        const record = new RateLimitRecord();
        order.forEach((state, index) => record.merge(state, 0, index));
        return record.state;
      });
      const newest = Math.max(...reported.map(({ version }) => version));
      const candidates = reported.filter(({ version }) => version === newest);
      const tightest = Math.min(
        ...candidates.map(({ requestsPerSecond }) => requestsPerSecond ?? Infinity),
      );
      return ends.every(
        ({ version, requestsPerSecond }) =>
          version === newest && (requestsPerSecond ?? Infinity) === tightest,
      );
    }),
    RUN_OPTIONS,
  );
  t.pass();
});

t.test('merge() ignores an older state, and keeps the age of the evidence', async (t) => {
  const record = new RateLimitRecord();
  t.equal(record.merge({ version: 3, requestsPerSecond: 2 }, 400, 1_000), true);
  t.equal(record.computeEvidenceAgeMs(1_000), 400);
  t.equal(record.merge({ version: 2, requestsPerSecond: 1 }, 0, 1_100), false);
  t.equal(record.merge({ version: 3, requestsPerSecond: undefined }, 0, 1_100), false);
  t.equal(record.merge({ version: 4, requestsPerSecond: undefined }, 0, 1_100), true);
  t.equal(record.isLimited, false);
});
