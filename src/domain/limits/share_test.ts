import t from 'tap';
import fc from 'fast-check';
import { computeBaseShare, LIMIT_KINDS, pickAllowanceLender } from './mod.js';

const LISTED = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 6 }), {
  minLength: 1,
  maxLength: 12,
});

t.test('computeBaseShare() returns shares that add up to the limits', async (t) => {
  const limits = fc.record({
    requestsPerSecond: fc.double({ min: 0.1, max: 1e4, noNaN: true }),
    tokensPerSecond: fc.double({ min: 1, max: 1e7, noNaN: true }),
    inFlight: fc.integer({ min: 1, max: 200 }),
  });
  fc.assert(
    fc.property(limits, LISTED, fc.string(), (limit, listed, account) => {
      const shares = listed.map((id) => computeBaseShare(limit, account, id, listed));
      return LIMIT_KINDS.every((kind) => {
        const sum = shares.reduce((total, share) => total + share[kind], 0);
        return Math.abs(sum - limit[kind]) <= 1e-9 * limit[kind];
      });
    }),
    { seed: 42, numRuns: 300 },
  );
  t.pass('for every list and limit');
});

t.test('computeBaseShare() returns zeros for an unlisted entry host', async (t) => {
  const limits = { requestsPerSecond: 8, tokensPerSecond: 8, inFlight: 8 };
  t.equal(computeBaseShare(limits, 'firm-a', 'eh-9', ['eh-1']).inFlight, 0);
});

t.test('the allowance lender does not depend on the order of the host list', async (t) => {
  fc.assert(
    fc.property(LISTED, fc.string(), (listed, account) => {
      const lender = pickAllowanceLender(account, listed);
      return lender !== undefined && lender === pickAllowanceLender(account, [...listed].reverse());
    }),
    { seed: 42, numRuns: 200 },
  );
  t.pass('for every list');
});
