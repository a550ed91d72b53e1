import t from 'tap';
import { WaitSuccessTracker } from './mod.js';

const FRESH = 2;
const LATE = 3;

/** Records the outcomes of waits that end every 20 ms. */
function recordWaits(
  tracker: WaitSuccessTracker,
  urgency: number,
  outcomes: readonly boolean[],
): number {
  outcomes.forEach((isGranted, index) => tracker.record(urgency, isGranted, index * 20));
  return outcomes.length * 20;
}

t.test('no call should wait if no waiting call gets a slot', async (t) => {
  // Guards against letting callers wait 1.2 s for a refusal, as two in three of them did. More
  // urgent calls kept arriving, and the estimated wait counted only the calls ahead in the queue,
  // not those that would still arrive ahead.
  const tracker = new WaitSuccessTracker();
  const nowMs = recordWaits(
    tracker,
    LATE,
    Array.from({ length: 20 }, () => false),
  );
  t.notOk(tracker.isWorthwhile(LATE, nowMs, 0.5));
  t.ok(tracker.isWorthwhile(FRESH, nowMs, 0.5), 'more urgent calls are judged separately');
});

t.test('calls should wait while one in four gets a slot', async (t) => {
  const tracker = new WaitSuccessTracker();
  const outcomes = Array.from({ length: 40 }, (_value, index) => index % 3 === 0);
  t.ok(tracker.isWorthwhile(FRESH, recordWaits(tracker, FRESH, outcomes), 0.5));
});

t.test('calls should wait again after a recovery', async (t) => {
  const tracker = new WaitSuccessTracker();
  const nowMs = recordWaits(
    tracker,
    LATE,
    Array.from({ length: 20 }, () => false),
  );
  t.ok(tracker.isWorthwhile(LATE, nowMs, 0.05), 'some calls wait regardless');
  t.ok(tracker.isWorthwhile(LATE, nowMs + 6_000, 0.5), 'old outcomes are forgotten');
  for (let grant = 0; grant < 6; grant += 1) tracker.record(LATE, true, nowMs + 100);
  t.ok(tracker.isWorthwhile(LATE, nowMs + 100, 0.5));
});

t.test('calls should wait after a single failed wait', async (t) => {
  const tracker = new WaitSuccessTracker();
  tracker.record(FRESH, false, 0);
  t.ok(tracker.isWorthwhile(FRESH, 1, 0.5));
});
