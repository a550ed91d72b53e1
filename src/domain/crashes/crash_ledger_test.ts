import fc from 'fast-check';
import t from 'tap';
import { CrashLedger, SUSPECT_RETENTION_MS } from './crash_ledger.js';
import { CrashState } from './crash_note.js';
import type { CrashNote } from './crash_note.js';

const SEED = 47;
const NOW_MS = 1_000_000;

/** Builds a crash note of a run that started and ended the given milliseconds ago. */
function buildNote(contentId: string, crashId: string, ago: readonly [number, number]): CrashNote {
  const [startedAgoMs, endedAgoMs] = ago;
  const state = CrashState.Suspected;
  return {
    contentId,
    crashId,
    state,
    isHeld: false,
    startedAgoMs,
    endedAgoMs,
    seenAgoMs: endedAgoMs,
  };
}

/** Builds crash notes of consecutive crashes, each with the contents that were running there. */
function buildCrashes(contents: readonly string[], first = 0): CrashNote[] {
  return contents.flatMap((names, index) => {
    const endedAgoMs = 10_000 - (first + index) * 100;
    return [...names].map((name) =>
      buildNote(name, `s-${first + index}`, [endedAgoMs + 50, endedAgoMs]),
    );
  });
}

function createLedger(contents: readonly string[]): CrashLedger {
  const ledger = new CrashLedger();
  ledger.apply(buildCrashes(contents), NOW_MS);
  return ledger;
}

t.test('a content is quarantined after three consecutive crashes', async (t) => {
  t.notOk(createLedger(['a', 'a']).isHeld('a'));
  const ledger = createLedger(['a', 'a', 'a']);
  t.ok(ledger.isHeld('a'));
  t.match(ledger.takeStateChanges(), [
    { contentId: 'a', isHeld: true, crashIds: ['s-0', 's-1', 's-2'] },
  ]);
  t.same(ledger.takeStateChanges(), []);
});

t.test('simultaneous crashes count once', async (t) => {
  const ledger = new CrashLedger();
  const together = ['s-1', 's-2', 's-3', 's-4'].map((id) => buildNote('a', id, [400, 100]));
  ledger.apply(together, NOW_MS);
  t.notOk(ledger.isHeld('a'));
  const later = ['s-5', 's-6', 's-7'].map((id) => buildNote('a', id, [90, 50]));
  ledger.apply(later, NOW_MS);
  t.notOk(ledger.isHeld('a'), 'two simultaneous groups count as two crashes');
});

t.test('consecutive crashes are told apart even if crash notes are late', async (t) => {
  // Guards against letting a request crash a fourth and a fifth server: its repeats reach two
  // hosts in turn, each right after the previous answer, so by the arrival times of the crash
  // notes, a run has started before the previous one ended.
  const ledger = new CrashLedger();
  ledger.apply([buildNote('a', 's-1', [110, 98])], NOW_MS);
  ledger.apply([buildNote('a', 's-2', [100, 90])], NOW_MS);
  ledger.apply([buildNote('a', 's-3', [92, 80])], NOW_MS);
  t.ok(ledger.isHeld('a'));
});

t.test('a quarantine is adopted by hosts that know the crashes', async (t) => {
  // Guards against one entry host that still sends what all others quarantine: crash notes reach
  // it late, so that two crashes look like one to it.
  const ledger = new CrashLedger();
  const late = [1, 2, 3].map((number) => buildNote('a', `s-${number}`, [120, 100 - number]));
  ledger.apply(late, NOW_MS);
  t.notOk(ledger.isHeld('a'));
  ledger.apply([{ ...buildNote('a', 's-1', [120, 100]), isHeld: true }], NOW_MS);
  t.ok(ledger.isHeld('a'));
  const fewer = createLedger(['b', 'b']);
  fewer.apply([{ ...buildNote('b', 's-1', [120, 100]), isHeld: true }], NOW_MS);
  t.notOk(fewer.isHeld('b'), 'a crash note alone is not enough');
});

t.test('two contents that ran together at all crashes are not quarantined', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab', 'ab']);
  t.notOk(ledger.isHeld('a') || ledger.isHeld('b'));
  ledger.clearContent('b', NOW_MS);
  t.ok(ledger.isHeld('a'), 'the other content was answered');
  t.notOk(ledger.isHeld('b'));
});

t.test('a content that ran beside the cause at some crashes is not quarantined', async (t) => {
  const ledger = createLedger(['ab', 'ab', 'ab', 'a', 'a', 'a']);
  t.ok(ledger.isHeld('a'));
  t.notOk(ledger.isHeld('b'));
});

t.test('a content that ran beside several causes in turn is not quarantined', async (t) => {
  // Guards against refusing a call that crashes no server. It broke off beside one crashing
  // request, was resent, broke off beside another one, and a third time beside the first, so no
  // single other content ran at all three crashes.
  const ledger = createLedger(['ac', 'bc', 'ac']);
  t.notOk(ledger.isHeld('c'));
  ledger.apply(buildCrashes(['a', 'b', 'a', 'b', 'a', 'b'], 3), NOW_MS);
  t.ok(ledger.isHeld('a'));
  t.ok(ledger.isHeld('b'));
  t.notOk(ledger.isHeld('c'));
});

t.test('an answer, or a server found alive, ends the quarantine', async (t) => {
  const answered = createLedger(['a', 'a', 'a']);
  t.equal(answered.clearContent('a', NOW_MS).length, 3);
  t.notOk(answered.isHeld('a'));
  const alive = createLedger(['a', 'a', 'a']);
  t.match(alive.clearCrash('s-1', NOW_MS), [{ contentId: 'a', state: CrashState.Cleared }]);
  t.notOk(alive.isHeld('a'));
  t.equal(
    alive.apply(buildCrashes(['a', 'a', 'a']), NOW_MS).length,
    0,
    'old crash notes change nothing',
  );
  t.notOk(alive.isHeld('a'));
});

t.test('isKnownBefore() tells whether a crash happened before a time', async (t) => {
  const ledger = createLedger(['a']);
  t.ok(ledger.isKnownBefore('s-0', NOW_MS - 9_999));
  t.notOk(ledger.isKnownBefore('s-0', NOW_MS - 10_000));
  t.notOk(ledger.isKnownBefore('s-9', NOW_MS));
});

t.test('memory stays bounded as new contents arrive, and keeps the quarantined ones', async (t) => {
  const ledger = createLedger(['a', 'a', 'a']);
  for (let index = 0; index < 5_000; index += 1) {
    ledger.apply([buildNote(`new ${index}`, `t-${index}`, [50, 10])], NOW_MS + index);
  }
  t.ok(ledger.size <= 512);
  t.ok(ledger.isHeld('a'));
  const many = Array.from({ length: 100 }, (_, index) => buildNote('a', `u-${index}`, [5, 1]));
  ledger.apply(many, NOW_MS);
  t.ok(ledger.list(NOW_MS).filter(({ contentId }) => contentId === 'a').length <= 8);
});

t.test('a content is forgotten only after it was not requested for long', async (t) => {
  const ledger = createLedger(['a', 'a', 'a']);
  ledger.recordSeen('a', NOW_MS + SUSPECT_RETENTION_MS);
  ledger.expire(NOW_MS + SUSPECT_RETENTION_MS);
  t.ok(ledger.isHeld('a'));
  ledger.expire(NOW_MS + 2 * SUSPECT_RETENTION_MS + 1);
  t.equal(ledger.size, 0);
  const stale = buildCrashes(['a']).map((note) => ({
    ...note,
    seenAgoMs: SUSPECT_RETENTION_MS + 1,
  }));
  t.same(ledger.apply(stale, NOW_MS), [], 'crash notes from peers that are too old');
});

t.test('hosts that exchange all crash notes agree, whatever their order', async () => {
  const host = fc.nat(2);
  const content = fc.constantFrom('a', 'b', 'c', 'd');
  const crash = fc.nat(7);
  const step = fc.oneof(
    fc.record({ kind: fc.constant('crash'), host, content, crash }),
    fc.record({ kind: fc.constant('answer'), host, content, crash }),
    fc.record({ kind: fc.constant('alive'), host, content, crash }),
    fc.record({ kind: fc.constant('tell'), host, content, crash }),
  );
  const property = fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
    const ledgers = [new CrashLedger(), new CrashLedger(), new CrashLedger()];
    const tell = (from: number, to: number): void => {
      ledgers[to]?.apply(ledgers[from]?.list(NOW_MS) ?? [], NOW_MS);
    };
    steps.forEach(({ kind, host: index, content: contentId, crash: number }) => {
      const ledger = ledgers[index] as CrashLedger;
      const endedAgoMs = 10_000 - number * 100;
      const note = buildNote(contentId, `s-${number}`, [endedAgoMs + 50, endedAgoMs]);
      if (kind === 'crash') ledger.apply([note], NOW_MS);
      else if (kind === 'answer') ledger.clearContent(contentId, NOW_MS);
      else if (kind === 'alive') ledger.clearCrash(`s-${number}`, NOW_MS);
      else tell(index, number % 3);
    });
    for (let round = 0; round < 2; round += 1) {
      [0, 1, 2].forEach((from) => [0, 1, 2].forEach((to) => tell(from, to)));
    }
    const known = ledgers.map((ledger) =>
      ledger
        .list(NOW_MS)
        .map(
          ({ contentId, crashId, state, isHeld }) => `${contentId} ${crashId} ${state} ${isHeld}`,
        )
        .sort()
        .join(),
    );
    return known[0] === known[1] && known[1] === known[2];
  });
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

t.test('ends for which there is no room are not taken for ends without the content', async (t) => {
  // Guards against asking for a second trial that ends its server, as if servers failed by themselves.
  const ledger = new CrashLedger();
  const crashTogether = (ids: readonly string[], ago: readonly [number, number]): void => {
    ledger.apply(
      ids.flatMap((id) => [buildNote('a', id, ago), buildNote(`only at ${id}`, id, ago)]),
      NOW_MS,
    );
  };
  const ids = Array.from({ length: 12 }, (_, index) => `s-${index}`);
  crashTogether(ids, [10_100, 10_000]);
  ledger.clearContent('a', NOW_MS - 9_950, NOW_MS - 10_050);
  ['t-1', 't-2', 't-3'].forEach((id, index) => {
    const endedAgoMs = 5_000 - index * 500;
    const ago = [endedAgoMs + 100, endedAgoMs] as const;
    ledger.apply([{ ...buildNote('a', id, ago), isVouched: true }], NOW_MS);
    ledger.apply([buildNote(`beside at ${id}`, id, ago)], NOW_MS);
  });
  t.equal(ledger.probationList.findProgress('a')?.trialCount, 0, 'it is on probation');
  ledger.recordTrial('a', { id: 'trial', startedAtMs: NOW_MS - 2_000, isVoid: false }, NOW_MS);
  ledger.apply([buildNote('a', 't-4', [2_000, 1_900])], NOW_MS);
  t.ok(ledger.isHeld('a'));
});
