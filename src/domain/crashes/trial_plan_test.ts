import t from 'tap';
import { computeNextStepMs, computeTrialFromMs, computeTurnMs } from './trial_plan.js';

const DOUBT = { sinceMs: 1_000, trialCount: 0, lastTrialAtMs: undefined };

t.test('computeTrialFromMs() lengthens the pauses, and ends with the last trial', async (t) => {
  t.equal(computeTrialFromMs(DOUBT), 1_600);
  t.equal(computeTrialFromMs({ ...DOUBT, trialCount: 1, lastTrialAtMs: 2_000 }), 2_800);
  t.equal(computeTrialFromMs({ ...DOUBT, trialCount: 2, lastTrialAtMs: 3_000 }), 7_000);
  t.equal(computeTrialFromMs({ ...DOUBT, trialCount: 3, lastTrialAtMs: 7_000 }), Infinity);
});

t.test('computeNextStepMs() gives the last trial time for its answer', async (t) => {
  t.equal(computeNextStepMs(DOUBT), 1_600);
  t.equal(computeNextStepMs({ ...DOUBT, trialCount: 3, lastTrialAtMs: 7_000 }), 17_000);
});

t.test('computeTurnMs() doubles the entry hosts that may try with each step', async (t) => {
  const steps = [0, 1, 2, 3, 4, 7, 8, 194].map((rank) => computeTurnMs(DOUBT, 5_000, rank) - 5_000);
  t.same(steps, [0, 250, 500, 500, 750, 750, 1_000, 2_000]);
  t.equal(computeTurnMs(DOUBT, 0, 0), 1_600, 'not before the trial is due');
});
