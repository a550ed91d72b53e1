import fc from 'fast-check';
import t from 'tap';
import { ConfirmedAge } from './mod.js';
import type { Moment } from './mod.js';

const RUNS = { seed: 20, numRuns: 300 };

function at(steadyMs: number, wallMs = steadyMs): Moment {
  return { steadyMs, wallMs };
}

t.test('ConfirmedAge knows nothing before the first confirmation', async (t) => {
  t.equal(new ConfirmedAge().computeAgeMs(at(0)), Infinity);
});

t.test('ConfirmedAge counts from the sending of the question', async (t) => {
  const age = new ConfirmedAge();
  age.confirm(at(100), at(900));
  t.equal(age.computeAgeMs(at(1_000)), 900);
});

t.test('ConfirmedAge adds the age that a passed-on confirmation already had', async (t) => {
  const age = new ConfirmedAge();
  age.confirm(at(100), at(150), 700);
  t.equal(age.computeAgeMs(at(200)), 800);
});

t.test('ConfirmedAge is not made older by a late answer to an earlier question', async (t) => {
  const age = new ConfirmedAge();
  age.confirm(at(500), at(510));
  age.confirm(at(100), at(520));
  t.equal(age.computeAgeMs(at(600)), 100);
});

t.test('ConfirmedAge counts a suspension that the monotonic clock leaves out', async (t) => {
  // Symptom: a key that was taken away is served long after.
  // Sequence: the key is confirmed; the machine is suspended for ten seconds; the key
  // is taken away meanwhile; a call with it comes right after the wake.
  // Cause: the monotonic clock stood still, so the confirmation looked fresh.
  const age = new ConfirmedAge();
  age.confirm(at(100, 1_000), at(110, 1_010));
  t.equal(age.computeAgeMs(at(120, 11_020)), 10_020);
});

t.test(
  'ConfirmedAge is never younger than the truth, whatever steps the wall clock takes',
  async () => {
    const step = fc.record({
      passMs: fc.nat(5_000),
      suspendMs: fc.oneof(fc.constant(0), fc.nat(20_000)),
      wallStepMs: fc.integer({ min: -2_000, max: 2_000 }),
      confirms: fc.boolean(),
      travelMs: fc.nat(1_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const age = new ConfirmedAge();
        let now = at(0, 1_000_000);
        let trueMs = 0;
        let knownAtMs: number | undefined;
        let steppedBackMs = 0;
        const pass = (ms: number, suspendMs: number, wallStepMs: number): void => {
          now = at(now.steadyMs + ms, now.wallMs + ms + suspendMs + wallStepMs);
          trueMs += ms + suspendMs;
          steppedBackMs += Math.max(0, -wallStepMs);
        };
        steps.forEach(({ passMs, suspendMs, wallStepMs, confirms, travelMs }) => {
          pass(passMs, suspendMs, wallStepMs);
          if (!confirms) return;
          const askedAt = now;
          const askedTrueMs = trueMs;
          pass(travelMs, 0, 0);
          age.confirm(askedAt, now);
          knownAtMs = Math.max(knownAtMs ?? 0, askedTrueMs);
        });
        if (knownAtMs === undefined) return age.computeAgeMs(now) === Infinity;
        // Steps back may hide as much of a suspension, and no more.
        return age.computeAgeMs(now) >= trueMs - knownAtMs - steppedBackMs;
      }),
      RUNS,
    );
  },
);
