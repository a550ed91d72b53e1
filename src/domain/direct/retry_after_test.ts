import fc from 'fast-check';
import t from 'tap';
import { computeReturningThresholdMs, computeDirectRetryAfterMs } from './mod.js';

t.test('the retry-after time is short if the target can still be met', async (t) => {
  const options = {
    estimatedWaitMs: 100,
    timeLeftMs: 10_000,
    targetLeftMs: 300,
    randomFraction: 0,
  };
  t.equal(computeDirectRetryAfterMs(options), 100);
});

t.test('the retry-after time outlasts a burst if the target can not be met', async (t) => {
  // Guards against most answers still being late ten seconds after a burst of five. Refused
  // callers were asked back after the estimated wait of 0.2 s, so that all of them used their
  // last attempt while the burst lasted.
  const options = {
    estimatedWaitMs: 200,
    timeLeftMs: 12_000,
    targetLeftMs: 100,
    randomFraction: 0,
  };
  t.equal(computeDirectRetryAfterMs(options), 3_840);
  t.ok(computeDirectRetryAfterMs({ ...options, randomFraction: 0.999 }) > 2_000);
});

t.test('the retry-after time never exceeds what callers accept', async () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 1e5, noNaN: true }),
      fc.double({ min: 0, max: 1e5, noNaN: true }),
      fc.double({ min: -1e4, max: 1e5, noNaN: true }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (estimatedWaitMs, timeLeftMs, targetLeftMs, randomFraction) => {
        const retryAfterMs = computeDirectRetryAfterMs({
          estimatedWaitMs,
          timeLeftMs,
          targetLeftMs,
          randomFraction,
        });
        return retryAfterMs >= 0 && retryAfterMs <= timeLeftMs / 3;
      },
    ),
    { seed: 23, numRuns: 300 },
  );
});

t.test('first calls with different deadlines are not taken for returning ones', async (t) => {
  // Guards against refusing new callers while calls that are already late are served. Under
  // overload, with deadlines of 85 to 100 percent of the longest one as in one deployment, every
  // caller below the longest deadline was taken for a returning one.
  const longestDeadlineMs = 12_000;
  const thresholdMs = computeReturningThresholdMs(longestDeadlineMs);
  for (let step = 0; step <= 20; step += 1) {
    const deadlineMs = longestDeadlineMs * (0.85 + (0.15 * step) / 20);
    t.ok(deadlineMs > thresholdMs);
    const lateOptions = { estimatedWaitMs: 2_000, timeLeftMs: deadlineMs, targetLeftMs: 0 };
    const shortestRetryAfterMs = computeDirectRetryAfterMs({ ...lateOptions, randomFraction: 1 });
    // Callers with the longest deadline and the shortest retry-after time return just below the
    // threshold.
    t.ok(deadlineMs - shortestRetryAfterMs <= Math.max(thresholdMs, deadlineMs * 0.81));
  }
});
