import t from 'tap';
import { computeNextStepAtMs, computeNextTrialAtMs, computeTurnAtMs } from './trial_schedule.js';

const PROGRESS = { sinceMs: 1_000, trialCount: 0, lastTrialAtMs: undefined };

t.test('computeNextTrialAtMs() lengthens the delays, and ends with the last trial', async (t) => {
  t.equal(computeNextTrialAtMs(PROGRESS), 1_600);
  t.equal(computeNextTrialAtMs({ ...PROGRESS, trialCount: 1, lastTrialAtMs: 2_000 }), 2_800);
  t.equal(computeNextTrialAtMs({ ...PROGRESS, trialCount: 2, lastTrialAtMs: 3_000 }), 7_000);
  t.equal(computeNextTrialAtMs({ ...PROGRESS, trialCount: 3, lastTrialAtMs: 7_000 }), Infinity);
});

t.test('the last trial gets time for its answer', async (t) => {
  t.equal(computeNextStepAtMs(PROGRESS), 1_600);
  t.equal(computeNextStepAtMs({ ...PROGRESS, trialCount: 3, lastTrialAtMs: 7_000 }), 17_000);
});

t.test('the number of entry hosts that may start a trial doubles with each delay', async (t) => {
  const steps = [0, 1, 2, 3, 4, 7, 8, 194].map(
    (rank) => computeTurnAtMs(PROGRESS, 5_000, rank) - 5_000,
  );
  t.same(steps, [0, 250, 500, 500, 750, 750, 1_000, 2_000]);
  t.equal(computeTurnAtMs(PROGRESS, 0, 0), 1_600, 'not before the trial is due');
});
