/**
 * Tests many crashing requests, failing racks and harmless requests at the same time.
 *
 * @module
 */
import t from 'tap';
import { simulateStorm } from '../../../test/support/crash_storm.js';

/** Rounds before the first failure, in which popular contents are answered. */
const CALM_ROUNDS = 20;

t.test('a storm of failures quarantines crashing contents and nothing else', async (t) => {
  for (let seed = 1; seed <= 30; seed += 1) {
    t.same(
      await simulateStorm(t, { seed, calmRounds: CALM_ROUNDS }),
      { heldSound: [], sentOn: [] },
      `seed ${seed}`,
    );
  }
});

t.test('a storm of three crashing contents sends none of them too often', async (t) => {
  // Guards against a content that crashes four servers more than three seconds after its third
  // crash. Three crashing contents and failing racks take down most of eleven servers at once,
  // so contents that ran beside each other are told apart late.
  t.same(await simulateStorm(t, { seed: 85, calmRounds: CALM_ROUNDS }), {
    heldSound: [],
    sentOn: [],
  });
});

t.test('a storm from the first second on quarantines no harmless content', async (t) => {
  // Guards against quarantining popular contents. Several crashing contents take down all
  // servers from the first second on, so a popular content was never answered and ran beside
  // each of them.
  t.same(await simulateStorm(t, { seed: 1, calmRounds: 0 }), { heldSound: [], sentOn: [] });
});

t.test('storms with failed trials quarantine no harmless content', async (t) => {
  // Guards against trials without a result: stalled, at a failing rack, or of callers that
  // disconnected.
  for (const seed of [16, 41, 199, 375, 1_149]) {
    t.same(
      await simulateStorm(t, { seed, calmRounds: 0 }),
      { heldSound: [], sentOn: [] },
      `${seed}`,
    );
  }
});

t.test('a storm with error answers sends no crashing content too often', async (t) => {
  // Guards against error answers that clear a content, with several crashing contents.
  for (const seed of [1_003, 1_014, 1_029]) {
    const { sentOn } = await simulateStorm(t, { seed, calmRounds: 20, errorFraction: 1 / 3 });
    t.same(sentOn, [], `${seed}`);
  }
});

t.test('a server failure during a trial quarantines no harmless content', async (t) => {
  // Guards against a crash that only coincides with a trial and is attributed to its content.
  for (const seed of [2_160, 2_269, 3_256]) {
    t.same(
      await simulateStorm(t, { seed, calmRounds: 0 }),
      { heldSound: [], sentOn: [] },
      `${seed}`,
    );
  }
});

t.test('a storm in which servers fail by themselves twice has nothing sound held', async (t) => {
  // Guards against two crashes that only coincide with one content and are attributed to it.
  for (const seed of [2_145, 4_357]) {
    t.same(
      await simulateStorm(t, { seed, calmRounds: 0 }),
      { heldSound: [], sentOn: [] },
      `${seed}`,
    );
  }
});
