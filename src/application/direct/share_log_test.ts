import t from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ShareLog } from './_share_log.js';

function buildAccount(accountId: string): Parameters<ShareLog['recordBelow']>[0] {
  return { serviceId: 'engines', accountId, usageMs: 100.4, averageMs: 900 };
}

/** Records accounts below their share every 100 ms. */
async function recordFor(shareLog: ShareLog, clock: VirtualClock, ids: string[], ms: number) {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
    ids.forEach((id) => shareLog.recordBelow(buildAccount(id)));
    shareLog.review();
    await clock.advance(100);
  }
}

t.test(
  'an account that stays below its share is logged once, and once when it is back',
  async (t) => {
    const clock = new VirtualClock();
    const log = new FakeLog();
    const shareLog = new ShareLog({ clock, log });
    await recordFor(shareLog, clock, ['a'], 5_000);
    await recordFor(shareLog, clock, [], 2_000);
    t.same(
      log.lines.map(({ event }) => event),
      ['account_below_share', 'account_share_regained'],
    );
    t.match(log.lines[0]?.fields, { account: 'a', service: 'engines', usageMs: 100, belowMs: 500 });
    t.match(log.lines[1]?.fields, { account: 'a', belowMs: 4_900 });
  },
);

t.test('moments below the share are not logged', async (t) => {
  const clock = new VirtualClock();
  const log = new FakeLog();
  const shareLog = new ShareLog({ clock, log });
  await recordFor(shareLog, clock, ['a'], 300);
  await recordFor(shareLog, clock, [], 2_000);
  t.same(log.lines, []);
});

t.test('many accounts below their share write a bounded number of lines', async (t) => {
  const clock = new VirtualClock();
  const log = new FakeLog();
  const ids = Array.from({ length: 1_000 }, (_, index) => `x-${index}`);
  await recordFor(new ShareLog({ clock, log }), clock, ids, 10_000);
  t.ok(log.lines.length <= 10, `${log.lines.length} lines`);
});
