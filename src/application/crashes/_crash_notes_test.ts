import t from 'tap';
import { buildCrashNotes } from './_crash_notes.js';
import type { LostRun } from './crash_detector.js';

function buildRun(contentId: string, partIds: readonly string[], accountId = 'firm-a'): LostRun {
  return {
    serverId: 's-1',
    address: 's-1:80',
    contentId,
    partIds,
    accountId,
    startedAtMs: 900,
    endedAtMs: 950,
  };
}

t.test('buildCrashNotes() names each cause once for each account', async (t) => {
  const runs = [buildRun('a', ['p', 'q']), buildRun('b', ['p']), buildRun('c', ['p'], 'firm-b')];
  const notes = buildCrashNotes('s-1', runs, 1_000);
  t.same(
    notes.map(({ contentId, accountIds }) => `${contentId} ${accountIds?.join()}`),
    ['a firm-a', 'b firm-a', 'c firm-b', 'p firm-a', 'p firm-b', 'q firm-a'],
  );
  t.match(notes[0], { startedAgoMs: 100, endedAgoMs: 50 });
});

t.test('buildCrashNotes() keeps contents and first parts of many invented ones', async (t) => {
  // Guards against callers that fill the messages between hosts with parts of their own.
  const runs = Array.from({ length: 256 }, (_, run) =>
    buildRun(`content-${run}`, [
      'shared',
      ...Array.from({ length: 63 }, (_one, part) => `invented-${run}-${part}`),
    ]),
  );
  const notes = buildCrashNotes('s-1', runs, 1_000);
  t.equal(notes.length, 512);
  t.equal(notes.filter(({ contentId }) => contentId.startsWith('content')).length, 256);
  t.ok(notes.some(({ contentId }) => contentId === 'shared'));
});
