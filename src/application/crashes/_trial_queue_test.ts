import t from 'tap';
import { CrashLine } from '../../../test/support/crash_line.js';
import { PassKind } from './_trial_queue.js';
import type { CrashKeeper } from './crash_keeper.js';

/** Advice to callers of what is held, in milliseconds. */
const HELD_MS = 600_000;

t.test('entry hosts behind relays try what is in doubt three times in all', async (t) => {
  // Guards against entry hosts that each try for themselves what word of a trial has not reached.
  const line = new CrashLine(t, ['a', 'relay-1', 'relay-2', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await line.crash(crash % 2, ['x', 'y']);
  const triedAtMs: number[] = [];
  for (let look = 0; look < 400; look += 1) {
    line.keepers.forEach((keeper) => {
      if (keeper.takePass('x').kind === PassKind.Trial) triedAtMs.push(line.clock.nowMs());
    });
    await line.clock.advance(50);
  }
  t.equal(triedAtMs.length, 3);
  t.ok(triedAtMs.every((atMs, index) => index === 0 || atMs - (triedAtMs[index - 1] ?? 0) >= 800));
  t.same(
    [0, 1, 2, 3].map((index) => line.isHeld(index, 'x')),
    [true, true, true, true],
    'none was answered',
  );
  t.notOk(line.isHeld(0, 'y'));
});

t.test('callers between trials hear when to come back', async (t) => {
  // Guards against an answer that gives no time, or ten minutes, while a trial may still be answered.
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await line.crash(0, ['x', 'y']);
  const [keeper] = line.keepers as [CrashKeeper];
  const delaysMs: (number | undefined)[] = [];
  for (let look = 0; look < 80; look += 1) {
    keeper.takePass('x');
    delaysMs.push(keeper.findRefusal('x')?.retryAfterMs);
    await line.clock.advance(250);
  }
  const given = delaysMs.filter((delayMs) => delayMs !== undefined);
  t.ok(given.length > 0);
  t.ok(given.every((delayMs) => delayMs <= 10_000 || delayMs === HELD_MS));
  t.equal(delaysMs.at(-1), HELD_MS);
});

t.test('calls that wait are woken when their content is cleared, or held', async (t) => {
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await line.crash(0, ['x', 'y']);
  const [keeper] = line.keepers as [CrashKeeper];
  const woken: string[] = [];
  keeper.waitForPass('x', () => woken.push('x'));
  keeper.waitForPass('y', () => woken.push('y'));
  keeper.waitForPass('y', () => woken.push('left'))();
  const startedAtMs = line.clock.nowMs();
  const run = { contentId: 'y', serverId: 's-9', startedAtMs, hasSucceeded: true };
  line.keepers[2]?.noteAnswered(run);
  await line.clock.advance(100);
  t.same(woken.sort(), ['x', 'y'], 'x is all that is left, and held');
  t.ok(line.isHeld(0, 'x'));
});
