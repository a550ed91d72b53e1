import fc from 'fast-check';
import t from 'tap';
import { deriveWarmupShare, isWarmupSender, WarmupPace } from './mod.js';

const MS_PER_SECOND = 1_000;

/** Each host's view of the fleet: names of the hosts that it knows. */
type Views = ReadonlyMap<string, readonly string[]>;

function listSenders(views: Views, serverId: string, senders: number): string[] {
  return [...views]
    .filter(([self, known]) => isWarmupSender(self, known, serverId, senders))
    .map(([self]) => self);
}

/** Moments at which hosts send that try at the given moments, in milliseconds. */
function playSends(triesAtMs: readonly number[], intervalMs: number): number[] {
  const pace = new WarmupPace();
  pace.set(Infinity, intervalMs);
  return triesAtMs.filter((atMs) => {
    if (!pace.maySend(atMs)) return false;
    pace.noteSent(atMs);
    return true;
  });
}

function countMostInSecond(sentAtMs: readonly number[]): number {
  const sorted = [...sentAtMs].sort((a, b) => a - b);
  return Math.max(
    0,
    ...sorted.map((atMs, index) => {
      const inSecond = sorted.slice(index).filter((later) => later <= atMs + MS_PER_SECOND);
      return inSecond.length;
    }),
  );
}

const times = fc.array(fc.integer({ min: 0, max: 5_000 }), { maxLength: 60 });
const bounds = fc.integer({ min: 2, max: 200 });

t.test('hosts that know each other stay within half of the bound in any second', async (t) => {
  // Guards against cold servers that many hosts fill at the same moment.
  fc.assert(
    fc.property(bounds, fc.integer({ min: 1, max: 40 }), fc.array(times), (bound, size, tries) => {
      const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
      const { senders, intervalMs } = deriveWarmupShare(bound);
      const views = new Map(names.map((name) => [name, names]));
      const sent = listSenders(views, 's-1', senders).flatMap((_name, index) =>
        playSends(
          [...(tries[index] ?? [0, 1, 2])].sort((a, b) => a - b),
          intervalMs,
        ),
      );
      return countMostInSecond(sent) <= Math.max(1, bound / 2);
    }),
    { seed: 3_201, numRuns: 300 },
  );
  t.pass();
});

t.test('two sides that know nothing of each other stay within the bound', async (t) => {
  // Guards against a partition whose sides each take the whole bound.
  fc.assert(
    fc.property(bounds, fc.integer({ min: 2, max: 40 }), (bound, size) => {
      const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
      const half = Math.ceil(size / 2);
      const sides = [names.slice(0, half), names.slice(half)];
      const views = new Map(sides.flatMap((side) => side.map((name) => [name, side] as const)));
      const { senders, intervalMs } = deriveWarmupShare(bound);
      const everyMs = Array.from({ length: 3_000 }, (_, index) => index);
      const sent = listSenders(views, 's-1', senders).flatMap(() => playSends(everyMs, intervalMs));
      return countMostInSecond(sent) <= bound;
    }),
    { seed: 3_202, numRuns: 40 },
  );
  t.pass();
});

t.test('a partition whose sides remember each other changes no sender', async (t) => {
  const names = Array.from({ length: 60 }, (_, index) => `entry-${index}`);
  const { senders } = deriveWarmupShare(32);
  const views = new Map(names.map((name) => [name, names]));
  t.equal(listSenders(views, 's-1', senders).length, senders);
});

t.test('deriveWarmupShare() leaves something to send at any bound', async (t) => {
  [0.5, 1, 2, 3, 7, 32, 500].forEach((bound) => {
    const { senders, intervalMs } = deriveWarmupShare(bound);
    t.ok(senders >= 1 && intervalMs < 1_100, `${bound} a second`);
  });
});

t.test('WarmupPace slows nothing down once the server is warm', async (t) => {
  const pace = new WarmupPace();
  t.ok(pace.maySend(0));
  pace.noteSent(0);
  t.ok(pace.maySend(0));
  pace.set(1_000, 400);
  t.notOk(pace.maySend(100), 'what was sent before it turned cold counts');
  t.ok(pace.maySend(400));
  const neverSent = new WarmupPace();
  neverSent.set(1_000, Infinity);
  t.notOk(neverSent.maySend(0));
  pace.set(1_000, Infinity);
  t.notOk(pace.maySend(900));
  t.ok(pace.maySend(1_000));
});
