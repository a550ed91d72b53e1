import t from 'tap';
import { CrashLedger } from './crash_ledger.js';
import { CrashState } from './crash_note.js';
import type { CrashNote } from './crash_note.js';

const NOW_MS = 1_000_000;
const SETTLED_MS = 50;

/** Notes of ends in turn, each with the contents that ran there; the last is a moment ago. */
function buildEnds(contents: readonly string[], firstId = 0): CrashNote[] {
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
  const ledger = new CrashLedger({ getSettleMs: () => SETTLED_MS });
  ledger.apply(buildEnds(contents), NOW_MS);
  return ledger;
}

/** A trial that begins now, under which a server ends. */
function tryContent(ledger: CrashLedger, names: string, nowMs: number): void {
  const [contentId] = names as unknown as [string];
  ledger.noteTrial(contentId, { id: `t-${nowMs}`, startedAtMs: nowMs, isVoid: false }, nowMs);
  ledger.apply(
    buildEnds([names], nowMs).map((note) => ({ ...note, startedAgoMs: 100, endedAgoMs: 60 })),
    nowMs + 100,
  );
  ledger.review(nowMs + 200);
}

t.test(
  'contents that always ran together are in doubt, and a trial tells them apart',
  async (t) => {
    // Guards against holding both, or neither, of two contents that only ever ran beside each other.
    const ledger = createLedger(['ab', 'ab', 'ab']);
    t.notOk(ledger.isHeld('a') || ledger.isHeld('b'));
    t.match(ledger.doubts.find('a'), { trialCount: 0 });
    tryContent(ledger, 'a', NOW_MS);
    t.ok(ledger.isHeld('a'), 'its server ended, and nothing else was there');
    t.notOk(ledger.isHeld('b'));
    ledger.clearContent('b', NOW_MS + 300);
    t.equal(ledger.doubts.find('b'), undefined);
  },
);

t.test('a trial that ends beside another suspect proves nothing', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab']);
  tryContent(ledger, 'ab', NOW_MS);
  t.notOk(ledger.isHeld('a'));
  t.match(ledger.doubts.find('a'), { trialCount: 1 });
});

t.test('a trial at a server that ends together with others proves nothing', async (t) => {
  // Guards against holding what was tried at a server of a rack that failed.
  const ledger = createLedger(['ab', 'ab', 'ab']);
  ledger.apply(
    buildEnds(['c'], 99).map((note) => ({ ...note, endedAgoMs: -40, startedAgoMs: 0 })),
    NOW_MS,
  );
  tryContent(ledger, 'a', NOW_MS);
  t.notOk(ledger.isHeld('a'));
});

t.test('a content is held when its trials are used up, and none was answered', async (t) => {
  // Guards against a request that goes on ending servers beside others that can't be told apart.
  const ledger = createLedger(['ab', 'ab', 'ab']);
  [0, 1_000, 6_000].forEach((afterMs) => tryContent(ledger, 'ab', NOW_MS + afterMs));
  t.notOk(ledger.isHeld('a'), 'the last one may still be answered');
  ledger.review(NOW_MS + 15_900);
  t.notOk(ledger.isHeld('a'));
  ledger.review(NOW_MS + 16_000);
  t.ok(ledger.isHeld('a'));
});

t.test('a trial that never ran counts as none, whoever hears of it first', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab']);
  const other = createLedger(['ab', 'ab', 'ab']);
  const trial = { id: 't', startedAtMs: NOW_MS, isVoid: false };
  const begun = ledger.noteTrial('a', trial, NOW_MS);
  const voided = ledger.noteTrial('a', { ...trial, isVoid: true }, NOW_MS + 1);
  other.apply(voided, NOW_MS + 1);
  other.apply(begun, NOW_MS + 1);
  t.match(ledger.doubts.find('a'), { trialCount: 0 });
  t.match(other.doubts.find('a'), { trialCount: 0 });
});

t.test('findOpen() names a trial until it shows something, or for long enough', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab']);
  const trial = { id: 't', startedAtMs: NOW_MS, isVoid: false };
  ledger.noteTrial('a', trial, NOW_MS);
  t.equal(ledger.doubts.findOpen(NOW_MS + 500), 'a');
  t.equal(ledger.doubts.findOpen(NOW_MS + 1_500), undefined);
  ledger.clearContent('a', NOW_MS + 600);
  t.equal(ledger.doubts.findOpen(NOW_MS + 600), undefined);
});

t.test('findPlace() puts those first that are most likely to be sound', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab', 'b']);
  t.same(
    ['a', 'b'].map((id) => ledger.doubts.findPlace(id)),
    [0, 1],
  );
});

t.test('what was answered shortly before is held after a trial only', async (t) => {
  const ledger = new CrashLedger();
  const vouched = buildEnds(['a', 'a', 'a', 'a']).map((note) => ({ ...note, isVouched: true }));
  ledger.apply(vouched, NOW_MS);
  t.notOk(ledger.isHeld('a'));
  t.match(ledger.doubts.find('a'), { trialCount: 0 });
  tryContent(ledger, 'a', NOW_MS);
  t.ok(ledger.isHeld('a'));
});
