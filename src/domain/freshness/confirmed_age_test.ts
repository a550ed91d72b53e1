import fc from 'fast-check';
import t from 'tap';
import { ConfirmedAge } from './mod.js';
import type { ClockReading } from './mod.js';

const RUN_OPTIONS = { seed: 20, numRuns: 300 };

function buildReading(steadyMs: number, wallMs = steadyMs): ClockReading {
  return { steadyMs, wallMs };
}

t.test('ConfirmedAge is infinite before the first confirmation', async (t) => {
  t.equal(new ConfirmedAge().computeAgeMs(buildReading(0)), Infinity);
});

t.test('ConfirmedAge counts from the sending of the request', async (t) => {
  const age = new ConfirmedAge();
  age.confirm(buildReading(100), buildReading(900));
  t.equal(age.computeAgeMs(buildReading(1_000)), 900);
});

t.test('ConfirmedAge adds the age that a forwarded confirmation already had', async (t) => {
  const age = new ConfirmedAge();
  age.confirm(buildReading(100), buildReading(150), 700);
  t.equal(age.computeAgeMs(buildReading(200)), 800);
});

t.test('ConfirmedAge ignores a late response to an earlier request', async (t) => {
  const age = new ConfirmedAge();
  age.confirm(buildReading(500), buildReading(510));
  age.confirm(buildReading(100), buildReading(520));
  t.equal(age.computeAgeMs(buildReading(600)), 100);
});

t.test('ConfirmedAge includes a suspension that the monotonic clock does not count', async (t) => {
  // Guards against accepting a key long after its revocation. The key is confirmed, then
  // revoked while the machine is suspended for ten seconds, and used right after the resume.
  // The monotonic clock stands still meanwhile, so the confirmation looks fresh.
  const age = new ConfirmedAge();
  age.confirm(buildReading(100, 1_000), buildReading(110, 1_010));
  t.equal(age.computeAgeMs(buildReading(120, 11_020)), 10_020);
});

t.test(
  'ConfirmedAge never reports less than the true age when the wall clock is stepped',
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
        let now = buildReading(0, 1_000_000);
        let trueMs = 0;
        let knownAtMs: number | undefined;
        let steppedBackMs = 0;
        const pass = (ms: number, suspendMs: number, wallStepMs: number): void => {
          now = buildReading(now.steadyMs + ms, now.wallMs + ms + suspendMs + wallStepMs);
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
        // A backward step may hide as much of a suspension as its own length, but no more.
        return age.computeAgeMs(now) >= trueMs - knownAtMs - steppedBackMs;
      }),
      RUN_OPTIONS,
    );
  },
);
