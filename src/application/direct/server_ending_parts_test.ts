/**
 * Tests requests that share one part of their prompts under which backend servers end.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import {
  buildRandomStorm,
  FIRST_PART,
  simulatePartStorm,
} from '../../../test/support/part_storm.js';
import type { PartStormOptions, PartStormResult } from '../../../test/support/part_storm.js';
import type { SeededRandom } from '../../../test/support/fakes.js';

/** Requests with such a part that may still reach servers, trials too. */
const MAX_LATE = 3;

const MIN_SOUND_SERVED = 0.97;

const TEST_TIMEOUT_MS = 120_000;

function pickOne(random: SeededRandom, count: number): number {
  return Math.floor(random.nextFraction() * count);
}

async function playStorm(
  t: Test,
  name: string,
  options: Partial<PartStormOptions>,
): Promise<PartStormResult> {
  const result = await simulatePartStorm(t, { seed: 55, ...options });
  const { late, soundServed, soundHeld, untrueRefusals } = result;
  const text = JSON.stringify(result);
  t.ok(late <= MAX_LATE, `${name}: ${late} reach servers late, ${text}`);
  t.ok(soundServed >= MIN_SOUND_SERVED, `${name}: sound ones are served, ${text}`);
  t.equal(soundHeld, 0, `${name}: no sound one is held`);
  t.equal(untrueRefusals, 0, `${name}: "not run" is true`);
  return result;
}

t.test('requests that share a part which ends servers are held, at any place of it', async (t) => {
  // Guards against ends that are laid to whole contents, none of which comes twice.
  t.setTimeout(TEST_TIMEOUT_MS);
  const places: Record<string, (random: SeededRandom) => readonly string[]> = {
    second: () => [FIRST_PART, 'ends-1'],
    first: () => ['ends-1', FIRST_PART],
    middle: (random) => [FIRST_PART, 'ends-1', `topic-${pickOne(random, 10)}`],
    'fourth of six': (random) => [FIRST_PART, 'b', 'c', 'ends-1', `topic-${pickOne(random, 10)}`],
    changing: (random) => {
      const parts = [FIRST_PART, `topic-${pickOne(random, 10)}`, `page-${pickOne(random, 1_000)}`];
      parts.splice(pickOne(random, 3), 0, 'ends-1');
      return parts;
    },
  };
  for (const [name, pickCrashing] of Object.entries(places)) {
    await playStorm(t, name, { pickCrashing });
  }
});

t.test('such requests are held on all kinds of routes', async (t) => {
  // Guards against evidence that only one kind of answer gives.
  t.setTimeout(TEST_TIMEOUT_MS);
  await playStorm(t, 'reads', { route: { isRepeatable: true, maxAttempts: 2 } });
  await playStorm(t, 'streams', { route: { isStream: true, isResumable: true, maxAttempts: 2 } });
  const route = { isStream: true };
  await playStorm(t, 'events first', { route, beginsBeforeCrash: true, crashDelayMs: 600 });
});

t.test('such requests are held at any rate, however soon servers end and return', async (t) => {
  // Guards against a hold that comes in time for one pace of ends alone.
  t.setTimeout(TEST_TIMEOUT_MS);
  await playStorm(t, '0.04 s', { crashDelayMs: 40 });
  await playStorm(t, '0.6 s', { crashDelayMs: 600 });
  await playStorm(t, 'back after 0.6 s', { restartDelayMs: 600 });
  await playStorm(t, 'back after 10 s', { restartDelayMs: 10_000 });
  await playStorm(t, 'one a second', { crashingPerSecond: 1, stormMs: 24_000 });
  await playStorm(t, 'one in ten seconds', { crashingPerSecond: 0.1, stormMs: 120_000 });
  await playStorm(t, '30 at once', { burst: 30 });
  await playStorm(t, 'from the first request on', { calmMs: 0 });
});

t.test('a part that was served well until some moment is held from then on', async (t) => {
  // Guards against answers that speak for a part for a minute to come.
  t.setTimeout(TEST_TIMEOUT_MS);
  const pickCrashing = (): string[] => [FIRST_PART, 'turns-1'];
  await playStorm(t, 'turns', { calmMs: 0, turnsAfterMs: 4_000, stormMs: 16_000, pickCrashing });
});

t.test('several such parts are held, at once and one after the other', async (t) => {
  // Guards against parts of which each looks innocent beside the others.
  t.setTimeout(TEST_TIMEOUT_MS);
  await playStorm(t, 'two at once', {
    pickCrashing: (random) => [FIRST_PART, `ends-${pickOne(random, 2)}`],
    stormMs: 16_000,
  });
  await playStorm(t, 'six in turn', {
    pickCrashing: (_random, elapsedMs) => [FIRST_PART, `ends-${Math.floor(elapsedMs / 10_000)}`],
    stormMs: 60_000,
  });
});

t.test('sound requests that share all but one part are served', async (t) => {
  // Guards against holding what runs beside such a part, or is named beside it.
  t.setTimeout(TEST_TIMEOUT_MS);
  await playStorm(t, 'same parts but the one', {
    pickSound: () => [FIRST_PART, 'b', 'c'],
    pickCrashing: () => [FIRST_PART, 'b', 'ends-1', 'c'],
  });
  await playStorm(t, 'few on their first part', {
    pickSound: (random) => (pickOne(random, 20) === 0 ? ['rare'] : [FIRST_PART, 'b']),
    pickCrashing: () => ['rare', 'ends-1'],
  });
  await playStorm(t, 'other accounts', {
    soundKeys: ['key-a', 'key-firm-b', 'key-firm-c'],
  });
});

t.test('an account that names parts of others beside such a part stops nobody', async (t) => {
  // Guards against a caller that has parts held which others use, seldom or often.
  t.setTimeout(TEST_TIMEOUT_MS);
  const soundKeys = ['key-firm-b'];
  const pickCrashing = (): string[] => ['ends-1', 'theirs'];
  await playStorm(t, 'often', { soundKeys, pickCrashing, pickSound: () => ['theirs', 'b'] });
  for (const seed of [55, 56, 57]) {
    await playStorm(t, `seldom, ${seed}`, {
      seed,
      soundKeys,
      pickCrashing,
      soundPerSecond: 0.5,
      pickSound: () => ['theirs'],
      stormMs: 30_000,
    });
  }
});

t.test('servers that end by themselves have no part held', async (t) => {
  // Guards against popular parts that run at all servers of a failing rack.
  t.setTimeout(TEST_TIMEOUT_MS);
  await playStorm(t, 'three each two seconds', { crashingPerSecond: 0, strayCrashes: 3 });
  await playStorm(t, 'beside such a part', { strayCrashes: 2 });
});

t.test('storms of such requests hold the parts and nothing else', async (t) => {
  // Guards against decisions that hold for one shape of prompts, fleets and ends alone.
  t.setTimeout(TEST_TIMEOUT_MS);
  for (let seed = 1; seed <= 25; seed += 1) {
    const { late, soundHeld, untrueRefusals } = await simulatePartStorm(t, buildRandomStorm(seed));
    t.ok(late <= MAX_LATE, `seed ${seed}: ${late} reach servers late`);
    t.equal(soundHeld + untrueRefusals, 0, `seed ${seed}: no sound one is held`);
  }
});
