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
