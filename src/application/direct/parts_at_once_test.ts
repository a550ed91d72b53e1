/**
 * Tests many requests at once that share a part of their prompts under which servers end.
 *
 * @module
 */
import t from 'tap';
import { FIRST_PART, simulatePartStorm } from '../../../test/support/part_storm.js';
import type { PartStormOptions } from '../../../test/support/part_storm.js';

/** Requests with such a part that may still reach servers, trials too. */
const MAX_LATE = 3;

const MIN_SOUND_SERVED = 0.97;

const TEST_TIMEOUT_MS = 240_000;

/** Twenty-three requests at once with a part that was served until then. */
const TURNING_STORM: PartStormOptions = {
  seed: 107,
  hosts: 6,
  sharesReports: true,
  messageDelayMs: 7,
  servers: 17,
  slots: 9,
  runMs: 246,
  crashDelayMs: 77,
  restartDelayMs: 2_067,
  burst: 23,
  burstAtMs: 4_000,
  calmMs: 0,
  turnsAfterMs: 4_000,
  stormMs: 16_000,
  route: { isRepeatable: true, maxAttempts: 2 },
  pickCrashing: () => [FIRST_PART, 'turns-1'],
};

[6, 13, 20].forEach((hosts) => {
  t.test(`sound calls are served by the servers that return, ${hosts} hosts`, async (t) => {
    // Guards against a host that found no server in reach and leaves those that have started since.
    t.setTimeout(TEST_TIMEOUT_MS);
    for (const seed of [1, 2, 3]) {
      const result = await simulatePartStorm(t, {
        seed,
        hosts,
        sharesReports: true,
        burst: 30,
        calmMs: 4_000,
        route: { isRepeatable: true, maxAttempts: 2 },
      });
      const name = `seed ${seed}: ${JSON.stringify(result)}`;
      t.ok(result.servedOnReturn >= MIN_SOUND_SERVED, `sound ones are served, ${name}`);
      t.ok(result.late <= MAX_LATE, `few reach servers late, ${name}`);
      t.equal(result.soundHeld + result.untrueRefusals, 0, name);
    }
  });
});

t.test('a part that is tried beside the one that ends servers is not held for it', async (t) => {
  // Guards against two trials at the first server that returns, of which one has both held.
  t.setTimeout(TEST_TIMEOUT_MS);
  const result = await simulatePartStorm(t, TURNING_STORM);
  t.equal(result.soundHeld + result.untrueRefusals, 0, JSON.stringify(result));
  t.ok(result.late <= MAX_LATE, JSON.stringify(result));
});

t.test('sound calls are served as soon as servers return from a part that turned', async (t) => {
  // Guards against a popular part that waits for its next trial after one that proved nothing.
  t.setTimeout(TEST_TIMEOUT_MS);
  const result = await simulatePartStorm(t, TURNING_STORM);
  t.ok(result.servedOnReturn >= MIN_SOUND_SERVED, JSON.stringify(result));
});
