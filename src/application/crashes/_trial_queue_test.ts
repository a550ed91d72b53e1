import t from 'tap';
import { CrashChain } from '../../../test/support/crash_chain.js';
import { PermitKind } from './_trial_queue.js';
import type { CrashQuarantine } from './crash_quarantine.js';

/** Retry-after time for callers of a quarantined content, in milliseconds. */
const QUARANTINE_RETRY_MS = 600_000;

t.test('entry hosts behind relays run three trials of a content in total', async (t) => {
  // Guards against entry hosts that each run their own trials because notes of a trial have not
  // reached them.
  const hosts = new CrashChain(t, ['a', 'relay-1', 'relay-2', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await hosts.crash(crash % 2, ['x', 'y']);
  const triedAtMs: number[] = [];
  for (let look = 0; look < 400; look += 1) {
    hosts.quarantines.forEach((quarantine) => {
      if (quarantine.acquirePermit('x').kind === PermitKind.Trial)
        triedAtMs.push(hosts.clock.nowMs());
    });
    await hosts.clock.advance(50);
  }
  t.equal(triedAtMs.length, 3);
  t.ok(triedAtMs.every((atMs, index) => index === 0 || atMs - (triedAtMs[index - 1] ?? 0) >= 800));
  t.same(
    [0, 1, 2, 3].map((index) => hosts.isHeld(index, 'x')),
    [true, true, true, true],
    'no trial was answered',
  );
  t.notOk(hosts.isHeld(0, 'y'));
});

t.test('callers between trials get a retry-after time', async (t) => {
  // Guards against a refusal without a retry-after time, or with ten minutes, while a trial may
  // still be answered.
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await hosts.crash(0, ['x', 'y']);
  const [quarantine] = hosts.quarantines as [CrashQuarantine];
  const delaysMs: (number | undefined)[] = [];
  for (let look = 0; look < 80; look += 1) {
    quarantine.acquirePermit('x');
    delaysMs.push(quarantine.findRefusal('x')?.retryAfterMs);
    await hosts.clock.advance(250);
  }
  const given = delaysMs.filter((delayMs) => delayMs !== undefined);
  t.ok(given.length > 0);
  t.ok(given.every((delayMs) => delayMs <= 10_000 || delayMs === QUARANTINE_RETRY_MS));
  t.equal(delaysMs.at(-1), QUARANTINE_RETRY_MS);
});

t.test('waiting calls are woken when their content is cleared or quarantined', async (t) => {
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await hosts.crash(0, ['x', 'y']);
  const [quarantine] = hosts.quarantines as [CrashQuarantine];
  const woken: string[] = [];
  quarantine.waitForPermit('x', () => woken.push('x'));
  quarantine.waitForPermit('y', () => woken.push('y'));
  quarantine.waitForPermit('y', () => woken.push('left'))();
  const startedAtMs = hosts.clock.nowMs();
  const run = { contentId: 'y', serverId: 's-9', startedAtMs, hasSucceeded: true };
  hosts.quarantines[2]?.recordAnswer(run);
  await hosts.clock.advance(100);
  t.same(woken.sort(), ['x', 'y'], 'x is the only suspect left, and quarantined');
  t.ok(hosts.isHeld(0, 'x'));
});
