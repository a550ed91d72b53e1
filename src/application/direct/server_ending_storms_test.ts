/**
 * Many requests that end servers, failing racks and sound requests all at once.
 *
 * @module
 */
import t from 'tap';
import { playStorm } from '../../../test/support/crash_storm.js';

/** Rounds before the first trouble, in which what many callers ask for is answered. */
const CALM_ROUNDS = 20;

t.test('in a storm of failures what ends servers is held, and nothing else', async (t) => {
  for (let seed = 1; seed <= 30; seed += 1) {
    t.same(
      await playStorm(t, { seed, calmRounds: CALM_ROUNDS }),
      { heldSound: [], sentOn: [] },
      `seed ${seed}`,
    );
  }
});

t.test('in a storm of three such requests none is sent on too often', async (t) => {
  // Symptom: one of them ends four servers more than three seconds after its third.
  // Sequence: three such requests and failing racks take most of eleven servers at once; what
  // ran beside each other is told apart late.
  t.same(await playStorm(t, { seed: 85, calmRounds: CALM_ROUNDS }), { heldSound: [], sentOn: [] });
});

t.test('a storm from the first second on has nothing held that was never answered', async (t) => {
  // Symptom: what many callers ask for is held.
  // Sequence: several such requests take all servers down from the first second on; nothing of
  // it was ever answered, and it ran beside each of them.
  t.same(await playStorm(t, { seed: 1, calmRounds: 0 }), { heldSound: [], sentOn: [] });
});

t.test('fresh storms in which trials went wrong have nothing sound held', async (t) => {
  // Guards against trials that show nothing: stalled, at a failing rack, or of callers who left.
  for (const seed of [16, 41, 199, 375, 1_149]) {
    t.same(await playStorm(t, { seed, calmRounds: 0 }), { heldSound: [], sentOn: [] }, `${seed}`);
  }
});

t.test('a storm in which servers answer errors, too, sends nothing on too often', async (t) => {
  // Guards against errors that clear a content, in storms of several such requests.
  for (const seed of [1_003, 1_014, 1_029]) {
    const { sentOn } = await playStorm(t, { seed, calmRounds: 20, errorShare: 1 / 3 });
    t.same(sentOn, [], `${seed}`);
  }
});

t.test('a storm in which a server fails under a trial has nothing sound held', async (t) => {
  // Guards against an end that only happened during a trial and is taken for its doing.
  for (const seed of [2_160, 2_269, 3_256]) {
    t.same(await playStorm(t, { seed, calmRounds: 0 }), { heldSound: [], sentOn: [] }, `${seed}`);
  }
});

t.test('a storm in which servers fail by themselves twice has nothing sound held', async (t) => {
  // Guards against two ends beside one content that are taken for its doing.
  for (const seed of [2_145, 4_357]) {
    t.same(await playStorm(t, { seed, calmRounds: 0 }), { heldSound: [], sentOn: [] }, `${seed}`);
  }
});
