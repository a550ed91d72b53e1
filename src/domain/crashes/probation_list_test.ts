import t from 'tap';
import { CrashLedger } from './crash_ledger.js';
import { CrashState } from './crash_note.js';
import type { CrashNote } from './crash_note.js';

const NOW_MS = 1_000_000;
const SETTLED_MS = 50;

/**
 * Builds crash notes of consecutive crashes, the last one 100 ms ago. Each string names the
 * contents that were running at a crash, one letter each.
 */
function buildCrashes(contents: readonly string[], firstId = 0): CrashNote[] {
  return contents.flatMap((names, index) => {
    const endedAgoMs = (contents.length - index) * 100;
    return [...names].map((contentId) => ({
      contentId,
      crashId: `s-${firstId + index}`,
      state: CrashState.Suspected,
      isHeld: false,
      startedAgoMs: endedAgoMs + 50,
      endedAgoMs,
      seenAgoMs: endedAgoMs,
    }));
  });
}

function createLedger(contents: readonly string[]): CrashLedger {
  const ledger = new CrashLedger({ getNoteDelayMs: () => SETTLED_MS });
  ledger.apply(buildCrashes(contents), NOW_MS);
  return ledger;
}

/** Starts a trial during which a server crashes. */
function crashInTrial(ledger: CrashLedger, names: string, nowMs: number): void {
  const [contentId] = names as unknown as [string];
  ledger.recordTrial(contentId, { id: `t-${nowMs}`, startedAtMs: nowMs, isVoid: false }, nowMs);
  ledger.apply(
    buildCrashes([names], nowMs).map((note) => ({ ...note, startedAgoMs: 100, endedAgoMs: 60 })),
    nowMs + 100,
  );
  ledger.review(nowMs + 200);
}

t.test(
  'contents that always ran together are on probation, and a trial tells them apart',
  async (t) => {
    // Guards against quarantining both, or neither, of two contents that only ever ran together.
    const ledger = createLedger(['ab', 'ab', 'ab']);
    t.notOk(ledger.isHeld('a') || ledger.isHeld('b'));
    t.match(ledger.probationList.findProgress('a'), { trialCount: 0 });
    crashInTrial(ledger, 'a', NOW_MS);
    t.ok(ledger.isHeld('a'), 'its server crashed, and nothing else ran there');
    t.notOk(ledger.isHeld('b'));
    ledger.clearContent('b', NOW_MS + 300);
    t.equal(ledger.probationList.findProgress('b'), undefined);
  },
);

t.test('a trial that crashes beside another suspect proves nothing', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab']);
  crashInTrial(ledger, 'ab', NOW_MS);
  t.notOk(ledger.isHeld('a'));
  t.match(ledger.probationList.findProgress('a'), { trialCount: 1 });
});

t.test('a trial on a server that crashes together with others proves nothing', async (t) => {
  // Guards against quarantining a content whose trial ran on a server of a failing rack.
  const ledger = createLedger(['ab', 'ab', 'ab']);
  ledger.apply(
    buildCrashes(['c'], 99).map((note) => ({ ...note, endedAgoMs: -40, startedAgoMs: 0 })),
    NOW_MS,
  );
  crashInTrial(ledger, 'a', NOW_MS);
  t.notOk(ledger.isHeld('a'));
});

t.test('a content is quarantined after all trials without an answer', async (t) => {
  // Guards against a request that keeps crashing servers beside others that can't be told apart.
  const ledger = createLedger(['ab', 'ab', 'ab']);
  [0, 1_000, 6_000].forEach((afterMs) => crashInTrial(ledger, 'ab', NOW_MS + afterMs));
  t.notOk(ledger.isHeld('a'), 'the last trial may still be answered');
  ledger.review(NOW_MS + 15_900);
  t.notOk(ledger.isHeld('a'));
  ledger.review(NOW_MS + 16_000);
  t.ok(ledger.isHeld('a'));
});

t.test('a trial that never ran does not count, in whatever order notes arrive', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab']);
  const other = createLedger(['ab', 'ab', 'ab']);
  const trial = { id: 't', startedAtMs: NOW_MS, isVoid: false };
  const started = ledger.recordTrial('a', trial, NOW_MS);
  const voided = ledger.recordTrial('a', { ...trial, isVoid: true }, NOW_MS + 1);
  other.apply(voided, NOW_MS + 1);
  other.apply(started, NOW_MS + 1);
  t.match(ledger.probationList.findProgress('a'), { trialCount: 0 });
  t.match(other.probationList.findProgress('a'), { trialCount: 0 });
});

t.test('a trial is open until it has a result or times out', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab']);
  const trial = { id: 't', startedAtMs: NOW_MS, isVoid: false };
  ledger.recordTrial('a', trial, NOW_MS);
  t.equal(ledger.probationList.findOpenTrial(NOW_MS + 500), 'a');
  t.equal(ledger.probationList.findOpenTrial(NOW_MS + 1_500), undefined);
  ledger.clearContent('a', NOW_MS + 600);
  t.equal(ledger.probationList.findOpenTrial(NOW_MS + 600), undefined);
});

t.test('contents most likely to be harmless come first in the trial order', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab', 'b']);
  t.same(
    ['a', 'b'].map((id) => ledger.probationList.findTrialPosition(id)),
    [0, 1],
  );
});

t.test(
  'a content answered shortly before its crashes is quarantined only after a trial',
  async (t) => {
    const ledger = new CrashLedger();
    const notes = buildCrashes(['a', 'a', 'a', 'a']).map((note) => ({
      ...note,
      isVouched: true,
    }));
    ledger.apply(notes, NOW_MS);
    t.notOk(ledger.isHeld('a'));
    t.match(ledger.probationList.findProgress('a'), { trialCount: 0 });
    crashInTrial(ledger, 'a', NOW_MS);
    t.ok(ledger.isHeld('a'));
  },
);
