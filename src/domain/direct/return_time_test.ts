import fc from 'fast-check';
import t from 'tap';
import { computeReturnedTimeMs, computeReturnMs } from './mod.js';

t.test('computeReturnMs() asks a caller back soon that can still be in time', async (t) => {
  const options = { clearMs: 100, timeLeftMs: 10_000, aimLeftMs: 300, fraction: 0 };
  t.equal(computeReturnMs(options), 100);
});

t.test('computeReturnMs() keeps callers out of the crowd that can not be in time', async (t) => {
  // Symptom: ten seconds after a burst of five, most answers are still late.
  // Sequence: callers are refused with advice of the measured wait, 0.2 s; they all
  // return into the burst, which is their last try.
  // Cause: the advice followed the queue's wait, not the burst's length.
  const options = { clearMs: 200, timeLeftMs: 12_000, aimLeftMs: 100, fraction: 0 };
  t.equal(computeReturnMs(options), 3_840);
  t.ok(computeReturnMs({ ...options, fraction: 0.999 }) > 2_000);
});

t.test('computeReturnMs() never goes beyond what callers follow', async () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 1e5, noNaN: true }),
      fc.double({ min: 0, max: 1e5, noNaN: true }),
      fc.double({ min: -1e4, max: 1e5, noNaN: true }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (clearMs, timeLeftMs, aimLeftMs, fraction) => {
        const returnMs = computeReturnMs({ clearMs, timeLeftMs, aimLeftMs, fraction });
        return returnMs >= 0 && returnMs <= timeLeftMs / 3;
      },
    ),
    { seed: 23, numRuns: 300 },
  );
});

t.test('callers of unlike patience are told from those that come back', async (t) => {
  // Symptom: new callers are refused while others are served whose answers are late already.
  // Sequence: under overload; each caller gives a deadline of 85 to 100 in 100 of the
  // longest, as one deployment's do, and returns when it was told to.
  // Cause: whoever gave less than the longest deadline was taken for a returning caller.
  const longestMs = 12_000;
  const returnedMs = computeReturnedTimeMs(longestMs);
  for (let step = 0; step <= 20; step += 1) {
    const patienceMs = longestMs * (0.85 + (0.15 * step) / 20);
    t.ok(patienceMs > returnedMs);
    const late = { clearMs: 2_000, timeLeftMs: patienceMs, aimLeftMs: 0 };
    const soonestMs = computeReturnMs({ ...late, fraction: 1 });
    // The most patient ones that are told the shortest advice come back just below the bound.
    t.ok(patienceMs - soonestMs <= Math.max(returnedMs, patienceMs * 0.81));
  }
});
