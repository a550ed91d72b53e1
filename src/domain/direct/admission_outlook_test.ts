import fc from 'fast-check';
import t from 'tap';
import {
  computeAnswerLeftMs,
  computeOutlookRetryAfterMs,
  computeAdmittedWaitMs,
  predictWaitMs,
  ReturningDemand,
  StartRates,
  sumMoreUrgent,
  WaveRates,
} from './mod.js';
import type { AdmissionOptions, SlotForecast } from './mod.js';

const SLOTS_PER_SECOND = 100;

function buildForecast(changes: Partial<SlotForecast> = {}): SlotForecast {
  return {
    callsAhead: 0,
    slotsPerSecond: SLOTS_PER_SECOND,
    takenNow: 0,
    takenUsually: 0,
    countReturns: () => 0,
    ...changes,
  };
}

/** A call on time that has seconds left. */
function decide(late: Partial<SlotForecast>, changes: Partial<AdmissionOptions> = {}): number {
  return computeAdmittedWaitMs({
    late: buildForecast(late),
    targetLeftMs: 330,
    answerLeftMs: 8_000,
    isReturning: false,
    isWaiting: false,
    isWaitingLate: false,
    ...changes,
  });
}

t.test('predictWaitMs() divides the calls ahead by the slots that are left', async (t) => {
  t.ok(Math.abs(predictWaitMs(buildForecast({ callsAhead: 99 }), 5_000) - 1_000) < 20);
  const taken = { callsAhead: 99, takenNow: 50, takenUsually: 50 };
  t.ok(Math.abs(predictWaitMs(buildForecast(taken), 5_000) - 2_000) < 40);
  t.equal(predictWaitMs(buildForecast({ callsAhead: -3 }), 5_000), 0);
});

t.test('predictWaitMs() is endless if more urgent calls take all slots', async (t) => {
  const taken = { takenNow: 110, takenUsually: 110 };
  t.equal(predictWaitMs(buildForecast(taken), 10_000), Infinity);
});

t.test('a burst alone rejects no call that has seconds left', async (t) => {
  // Guards against callers with ten seconds that are rejected for a burst of three.
  const burst = { callsAhead: 20, takenNow: 100, takenUsually: 80 };
  t.equal(decide(burst), 8_000);
  t.equal(decide(burst, { answerLeftMs: 1_000 }), 0, 'a short one is told at once');
});

t.test('lasting overload rejects calls at once', async (t) => {
  // Guards against calls that are held for their whole time and rejected then.
  const overload = { callsAhead: 20, takenNow: 105, takenUsually: 102 };
  t.equal(decide(overload), 0);
});

t.test('a call waits for its target if only that can be met', async (t) => {
  const overload = { callsAhead: 20, takenNow: 105, takenUsually: 102 };
  const fresh = buildForecast({ callsAhead: 20 });
  t.equal(decide(overload, { fresh }), 330);
  const crowded = buildForecast({ callsAhead: 60 });
  t.equal(decide(overload, { fresh: crowded }), 0);
});

t.test('a wait needs a better chance to begin than to go on', async (t) => {
  // Guards against calls that are admitted and rejected in turn by a forecast near its limit.
  const near = { callsAhead: 99 };
  const answerLeftMs = 1_150;
  t.equal(decide(near, { answerLeftMs }), 0);
  t.equal(decide(near, { answerLeftMs, isWaiting: true, isWaitingLate: true }), answerLeftMs);
  t.equal(decide(near, { answerLeftMs, isReturning: true }), answerLeftMs);
  t.equal(
    decide(near, { answerLeftMs: 500, isWaiting: true, isWaitingLate: true }),
    0,
    'a bad outlook ends it',
  );
});

t.test('a call whose answer would be cut off is rejected', async (t) => {
  t.equal(computeAnswerLeftMs(2_000, 1_000), 600);
  const fresh = buildForecast();
  t.equal(decide({ callsAhead: -1 }, { fresh, answerLeftMs: -10 }), 0);
});

t.test('callers that were told to return count as calls ahead', async (t) => {
  // Guards against advice that sends all callers back at the same moment.
  const demand = new ReturningDemand();
  for (let index = 0; index < 50; index += 1) demand.record(3, 1_400, 1_000);
  t.equal(demand.count(3, 1_000, 1_400), 0);
  t.equal(demand.count(3, 1_000, 1_500), 50);
  t.equal(demand.count(2, 1_000, 1_500), 0, 'less urgent ones go later');
  t.equal(demand.count(3, 1_600, 9_000), 0, 'those that have returned are calls again');
  const later = new ReturningDemand();
  for (let index = 0; index < 50; index += 1) later.record(3, 1_400, 1_000);
  const countReturns = (withinMs: number): number => later.count(3, 1_000, 1_000 + withinMs);
  const without = predictWaitMs(buildForecast({ callsAhead: 60 }), 5_000);
  const withReturns = predictWaitMs(buildForecast({ callsAhead: 60, countReturns }), 5_000);
  t.ok(withReturns > without + 300, `${without} ${withReturns}`);
});

t.test('ReturningDemand keeps a bounded number of slices', async (t) => {
  const demand = new ReturningDemand();
  for (let index = 0; index < 10_000; index += 1) demand.record(1, index * 100, 0);
  t.ok(demand.count(1, 0, Infinity) <= 64);
});

t.test('StartRates and WaveRates follow a second and a wave', async (t) => {
  const starts = new StartRates();
  const wave = new WaveRates();
  let nowMs = 0;
  for (; nowMs < 10_000; nowMs += 50) {
    starts.record(0, nowMs);
    wave.sample(starts.list(nowMs), nowMs);
  }
  t.ok(Math.abs(sumMoreUrgent(starts.list(nowMs), 1) - 20) < 2);
  t.equal(sumMoreUrgent(starts.list(nowMs), 0), 0);
  t.ok(Math.abs(sumMoreUrgent(wave.rates, 1) - 19) < 3);
  for (; nowMs < 13_000; nowMs += 50) wave.sample(starts.list(nowMs), nowMs);
  t.ok(sumMoreUrgent(starts.list(nowMs), 1) < 2);
  t.ok(sumMoreUrgent(wave.rates, 1) > 10);
  t.equal(starts.list(nowMs + 60_000).size, 0, 'nothing is kept for ever');
});

t.test('the advised time to return is within what callers accept', async () => {
  const times = fc.double({ min: 0, max: 1e5, noNaN: true });
  fc.assert(
    fc.property(
      fc.oneof(times, fc.constant(Infinity)),
      times,
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (estimatedWaitMs, timeLeftMs, randomFraction) => {
        const returnMs = computeOutlookRetryAfterMs({
          estimatedWaitMs,
          timeLeftMs,
          randomFraction,
        });
        return returnMs >= 0 && returnMs <= timeLeftMs * 0.32;
      },
    ),
    { seed: 41, numRuns: 300 },
  );
});

t.test('a forecast with fewer slots or more calls never waits shorter', async () => {
  const count = fc.double({ min: 0, max: 300, noNaN: true });
  fc.assert(
    fc.property(count, count, count, count, (callsAhead, slots, taken, more) => {
      const base = { callsAhead, slotsPerSecond: slots, takenNow: taken, takenUsually: taken };
      const before = predictWaitMs(buildForecast(base), 10_000);
      const worse = [
        { ...base, callsAhead: callsAhead + more },
        { ...base, slotsPerSecond: Math.max(0, slots - more) },
        { ...base, takenNow: taken + more },
      ];
      return worse.every(
        (changes) => predictWaitMs(buildForecast(changes), 10_000) >= before - 1e-6,
      );
    }),
    { seed: 42, numRuns: 300 },
  );
});
