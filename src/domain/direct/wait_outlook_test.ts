import t from 'tap';
import { WaitOutlook } from './mod.js';

const FRESH = 2;
const LATE = 3;

/** Lets waits end, one each 20 ms. */
function fill(outlook: WaitOutlook, urgency: number, outcomes: readonly boolean[]): number {
  outcomes.forEach((isGranted, index) => outlook.note(urgency, isGranted, index * 20));
  return outcomes.length * 20;
}

t.test('WaitOutlook lets nobody wait where nobody is given a slot', async (t) => {
  // Symptom: callers hear nothing for 1.2 s and are refused then, two in three of them.
  // Sequence: calls that go first keep coming; those behind them wait until their time to
  // start is over.
  // Cause: the wait was predicted from how many stood before a call, not from how many
  // would still come before it.
  const outlook = new WaitOutlook();
  const nowMs = fill(
    outlook,
    LATE,
    Array.from({ length: 20 }, () => false),
  );
  t.notOk(outlook.isWorthwhile(LATE, nowMs, 0.5));
  t.ok(outlook.isWorthwhile(FRESH, nowMs, 0.5), 'more urgent calls are told apart');
});

t.test('WaitOutlook lets calls wait while one in four is given a slot', async (t) => {
  const outlook = new WaitOutlook();
  const outcomes = Array.from({ length: 40 }, (_value, index) => index % 3 === 0);
  t.ok(outlook.isWorthwhile(FRESH, fill(outlook, FRESH, outcomes), 0.5));
});

t.test('WaitOutlook notices better times', async (t) => {
  const outlook = new WaitOutlook();
  const nowMs = fill(
    outlook,
    LATE,
    Array.from({ length: 20 }, () => false),
  );
  t.ok(outlook.isWorthwhile(LATE, nowMs, 0.05), 'some wait all the same');
  t.ok(outlook.isWorthwhile(LATE, nowMs + 6_000, 0.5), 'what was is forgotten');
  for (let grant = 0; grant < 6; grant += 1) outlook.note(LATE, true, nowMs + 100);
  t.ok(outlook.isWorthwhile(LATE, nowMs + 100, 0.5));
});

t.test('WaitOutlook does not judge by one wait in vain', async (t) => {
  const outlook = new WaitOutlook();
  outlook.note(FRESH, false, 0);
  t.ok(outlook.isWorthwhile(FRESH, 1, 0.5));
});
