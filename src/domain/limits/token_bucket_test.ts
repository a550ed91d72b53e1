import t from 'tap';
import fc from 'fast-check';
import { TokenBucket } from './mod.js';

t.test(
  'TokenBucket admits at most its rate times the elapsed time plus its capacity',
  async (t) => {
    const step = fc.record({
      afterMs: fc.integer({ min: 0, max: 500 }),
      rate: fc.double({ min: 0, max: 50, noNaN: true }),
      attempts: fc.nat(5),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
        const capacity = 4;
        const bucket = new TokenBucket({ rate: 0, capacity, nowMs: 0 });
        let [nowMs, rate, permitted, taken] = [0, 0, capacity, 0];
        steps.forEach((one) => {
          nowMs += one.afterMs;
          permitted += (rate * one.afterMs) / 1000;
          rate = one.rate;
          bucket.setRate(rate, capacity, nowMs);
          for (let attempt = 0; attempt < one.attempts; attempt += 1) {
            if (bucket.computeWaitMs(1, nowMs) > 0) return;
            bucket.take(1, nowMs);
            taken += 1;
          }
        });
        return taken <= permitted + 1e-6;
      }),
      { seed: 42, numRuns: 300 },
    );
    t.pass('no sequence takes more');
  },
);

t.test(
  'TokenBucket computeWaitMs() returns the time after which the take is admitted',
  async (t) => {
    const bucket = new TokenBucket({ rate: 10, capacity: 20, nowMs: 0 });
    bucket.take(20, 0);
    t.equal(bucket.computeWaitMs(5, 0), 500);
    t.equal(bucket.computeWaitMs(5, 499.9) > 0, true);
    t.equal(bucket.computeWaitMs(5, 500), 0);
  },
);

t.test('TokenBucket take() of more than the capacity requires a full bucket', async (t) => {
  // Guards against refusing a long prompt forever at an entry host with a small share, because
  // the bucket can never hold as many tokens as the request needs.
  const bucket = new TokenBucket({ rate: 10, capacity: 10, nowMs: 0 });
  t.equal(bucket.computeWaitMs(100, 0), 0);
  bucket.take(100, 0);
  t.equal(bucket.computeWaitMs(1, 0), 9100, 'the debt is repaid at the refill rate');
});

t.test('TokenBucket settle() corrects a take whose amount was an estimate', async (t) => {
  const bucket = new TokenBucket({ rate: 10, capacity: 10, nowMs: 0 });
  bucket.take(10, 0);
  bucket.settle(4, 0);
  t.equal(bucket.computeWaitMs(4, 0), 0);
  bucket.settle(-3, 0);
  t.equal(bucket.computeWaitMs(4, 0), 300);
  bucket.settle(100, 0);
  t.equal(bucket.isFull(0), true, 'never beyond the capacity');
  t.equal(bucket.computeWaitMs(11, 0), 0);
});
