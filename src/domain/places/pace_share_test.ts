import fc from 'fast-check';
import t from 'tap';
import { deriveWarmupPace, isPaceSender, ServerPacer } from './mod.js';

const MS_PER_SECOND = 1_000;

/** Each host's view of the fleet: IDs of the hosts that it knows, by its own ID. */
type Views = ReadonlyMap<string, readonly string[]>;

function listSenders(views: Views, serverId: string, senders: number): string[] {
  return [...views]
    .filter(([self, known]) => isPaceSender(self, known, serverId, senders))
    .map(([self]) => self);
}

/**
 * Returns the times at which one host sends, out of the times at which it tries, in milliseconds.
 */
function simulateSends(attemptTimesMs: readonly number[], intervalMs: number): number[] {
  const pacer = new ServerPacer();
  pacer.configure(Infinity, intervalMs);
  return attemptTimesMs.filter((atMs) => {
    if (!pacer.maySend(atMs)) return false;
    pacer.recordSent(atMs);
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

const attemptTimes = fc.array(fc.integer({ min: 0, max: 5_000 }), { maxLength: 60 });
const limits = fc.integer({ min: 2, max: 200 });

t.test('hosts that know each other stay within half of the limit in any second', async (t) => {
  // Guards against many hosts filling a cold server at the same moment.
  fc.assert(
    fc.property(
      limits,
      fc.integer({ min: 1, max: 40 }),
      fc.array(attemptTimes),
      (limit, size, attempts) => {
        const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
        const { senderCount, intervalMs } = deriveWarmupPace(limit);
        const views = new Map(names.map((name) => [name, names]));
        const sent = listSenders(views, 's-1', senderCount).flatMap((_name, index) =>
          simulateSends(
            [...(attempts[index] ?? [0, 1, 2])].sort((a, b) => a - b),
            intervalMs,
          ),
        );
        return countMostInSecond(sent) <= Math.max(1, limit / 2);
      },
    ),
    { seed: 3_201, numRuns: 300 },
  );
  t.pass();
});

t.test('two sides that do not know each other stay within the limit', async (t) => {
  // Guards against a partition in which each side uses the whole limit.
  fc.assert(
    fc.property(limits, fc.integer({ min: 2, max: 40 }), (limit, size) => {
      const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
      const half = Math.ceil(size / 2);
      const sides = [names.slice(0, half), names.slice(half)];
      const views = new Map(sides.flatMap((side) => side.map((name) => [name, side] as const)));
      const { senderCount, intervalMs } = deriveWarmupPace(limit);
      const everyMs = Array.from({ length: 3_000 }, (_, index) => index);
      const sent = listSenders(views, 's-1', senderCount).flatMap(() =>
        simulateSends(everyMs, intervalMs),
      );
      return countMostInSecond(sent) <= limit;
    }),
    { seed: 3_202, numRuns: 40 },
  );
  t.pass();
});

t.test('a partition whose sides remember each other keeps the senders', async (t) => {
  const names = Array.from({ length: 60 }, (_, index) => `entry-${index}`);
  const { senderCount } = deriveWarmupPace(32);
  const views = new Map(names.map((name) => [name, names]));
  t.equal(listSenders(views, 's-1', senderCount).length, senderCount);
});

t.test('deriveWarmupPace() allows requests at any limit', async (t) => {
  [0.5, 1, 2, 3, 7, 32, 500].forEach((limit) => {
    const { senderCount, intervalMs } = deriveWarmupPace(limit);
    t.ok(senderCount >= 1 && intervalMs < 1_100, `${limit} a second`);
  });
});

t.test('the warmup limit ends once the server is warm', async (t) => {
  const pacer = new ServerPacer();
  t.ok(pacer.maySend(0));
  pacer.recordSent(0);
  t.ok(pacer.maySend(0));
  pacer.configure(1_000, 400);
  t.notOk(pacer.maySend(100), 'a request sent before the server turned cold counts');
  t.ok(pacer.maySend(400));
  const neverSent = new ServerPacer();
  neverSent.configure(1_000, Infinity);
  t.notOk(neverSent.maySend(0));
  pacer.configure(1_000, Infinity);
  t.notOk(pacer.maySend(900));
  t.ok(pacer.maySend(1_000));
});
