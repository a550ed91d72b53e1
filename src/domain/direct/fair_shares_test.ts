import t from 'tap';
import {
  measureServedShare,
  simulateSlots,
  sumSlotMs,
} from '../../../test/support/slot_simulation.js';
import type { AccountLoad, SimulatedCall } from '../../../test/support/slot_simulation.js';

const SEEDS = [1, 2, 3];

const SHARED = { slots: 8, durationMs: 30_000, waitMs: 500 };

function buildLoad(accountId: string, callsPerSecond: number, holdMs = 200): AccountLoad {
  return { accountId, callsPerSecond, drawHoldMs: (fraction) => holdMs * (0.5 + fraction) };
}

t.test('accounts that overload the slots get equal slot time, whatever they send', async (t) => {
  for (const seed of SEEDS) {
    const loads = [buildLoad('short', 100, 100), buildLoad('long', 10, 1_000), buildLoad('c', 40)];
    const sums = sumSlotMs(simulateSlots({ ...SHARED, seed, loads }), 5_000);
    const times = Object.values(sums);
    t.ok(Math.max(...times) / Math.min(...times) < 1.1, `seed ${seed}: ${JSON.stringify(sums)}`);
  }
});

t.test('wrong predictions of hold times shift the shares by less than a quarter', async (t) => {
  for (const seed of SEEDS) {
    const loads = [buildLoad('short', 100, 100), buildLoad('long', 10, 1_000), buildLoad('c', 40)];
    const options = { ...SHARED, seed, loads, predictMs: () => 200 };
    const times = Object.values(sumSlotMs(simulateSlots(options), 5_000));
    t.ok(Math.max(...times) / Math.min(...times) < 1.25, `seed ${seed}: ${times.join()}`);
  }
});

t.test('accounts get slot time by weight', async (t) => {
  for (const seed of SEEDS) {
    const loads = [{ ...buildLoad('a', 60), weight: 3 }, buildLoad('b', 60)];
    const { a = 0, b = 0 } = sumSlotMs(simulateSlots({ ...SHARED, seed, loads }), 5_000);
    t.ok(a / b > 2.7 && a / b < 3.3, `seed ${seed}: ${a / b}`);
  }
});

t.test('a lone account gets all slots', async (t) => {
  const calls = simulateSlots({ ...SHARED, loads: [buildLoad('a', 80)] });
  const usedMs = sumSlotMs(calls).a ?? 0;
  t.ok(usedMs > 0.95 * SHARED.slots * SHARED.durationMs, `${usedMs}`);
});

t.test('an account that uses less than its share is served beside a hot one', async (t) => {
  for (const seed of SEEDS) {
    const quiet = ['a', 'b', 'c', 'd'].map((id) => buildLoad(id, 6));
    const loads = [...quiet, buildLoad('hot', 45)];
    const served = (isFair: boolean): number =>
      measureServedShare(
        simulateSlots({ ...SHARED, seed, loads, isFair }).filter(
          ({ accountId }) => accountId !== 'hot',
        ),
      );
    t.ok(served(true) > 0.99, `seed ${seed}: ${served(true)}`);
    t.ok(served(false) < 0.95, `seed ${seed}: without usage ${served(false)}`);
  }
});

t.test('an account that comes back from idleness does not lock out the others', async (t) => {
  // Without a bound on its lead it would take all slots for a half-life of its usage, 3 s.
  for (const seed of SEEDS) {
    const loads = [buildLoad('busy', 80), { ...buildLoad('idle', 160), fromMs: 15_000 }];
    const calls = simulateSlots({ ...SHARED, seed, loads });
    const starts = calls
      .filter(({ accountId }) => accountId === 'busy')
      .flatMap(({ startedAtMs }) => startedAtMs ?? [])
      .sort((a, b) => a - b);
    const pauses = starts.slice(1).map((startMs, index) => startMs - (starts[index] as number));
    t.ok(Math.max(...pauses) < 1_500, `seed ${seed}: ${Math.max(...pauses)} ms`);
    const { busy = 0, idle = 0 } = sumSlotMs(calls, 18_000);
    t.ok(busy / idle > 0.9 && busy / idle < 1.1, `seed ${seed}: ${busy / idle}`);
  }
});

t.test('a caller that retries at once and often gains nothing', async (t) => {
  for (const seed of SEEDS) {
    const loads = [buildLoad('a', 60), { ...buildLoad('eager', 60), retries: 8 }];
    const { a = 0, eager = 0 } = sumSlotMs(simulateSlots({ ...SHARED, seed, loads }), 5_000);
    t.ok(eager / a < 1.05, `seed ${seed}: ${eager / a}`);
  }
});

t.test('the largest tenth of the requests is served at least 0.8 times as often', async (t) => {
  for (const seed of SEEDS) {
    // Heavy-tailed hold times; the mean is about 300 ms, and the load 1.4 times the slots.
    const drawHoldMs = (fraction: number): number => 120 / (1 - fraction * 0.99) ** 0.6;
    const loads = ['a', 'b', 'c', 'd', 'e'].map((accountId) => ({
      accountId,
      callsPerSecond: 8,
      drawHoldMs,
    }));
    const calls = simulateSlots({ ...SHARED, seed, loads, durationMs: 60_000 });
    const overall = measureServedShare(calls);
    const bySize = [...calls].sort((a, b) => b.holdMs - a.holdMs);
    const largest = measureServedShare(bySize.slice(0, Math.ceil(calls.length / 10)));
    t.ok(overall < 0.95, `seed ${seed}: ${overall} served`);
    t.ok(largest > 0.8 * overall, `seed ${seed}: ${largest} of the largest, ${overall} of all`);
    t.ok(largest < 1.25 * overall, `seed ${seed}: ${largest} of the largest, ${overall} of all`);
  }
});

t.test('no session is refused more often in a row than chance explains', async (t) => {
  for (const seed of SEEDS) {
    const loads = [
      ...['a', 'b', 'c'].map((id) => ({ ...buildLoad(id, 14), sessions: 10 })),
      { ...buildLoad('hot', 60), sessions: 20 },
    ];
    const calls = simulateSlots({ ...SHARED, seed, loads, durationMs: 60_000 });
    loads.forEach(({ accountId }) => {
      const own = calls.filter((call) => call.accountId === accountId);
      const refused = 1 - measureServedShare(own);
      // Length of the longest streak that is expected among independent refusals, and a half.
      const bound = (1.5 * Math.log(own.length)) / -Math.log(refused);
      const longest = measureLongestStreak(own);
      t.ok(longest <= bound, `seed ${seed}, ${accountId}: ${longest} in a row, bound ${bound}`);
    });
  }
});

/** @returns most refusals in a row of any session */
function measureLongestStreak(calls: readonly SimulatedCall[]): number {
  const streaks = new Map<string, number>();
  return calls.reduce((longest, { session, startedAtMs }) => {
    const streak = startedAtMs === undefined ? (streaks.get(session) ?? 0) + 1 : 0;
    streaks.set(session, streak);
    return Math.max(longest, streak);
  }, 0);
}
