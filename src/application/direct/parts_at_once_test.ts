/**
 * Tests many requests at once that share a part of their prompts under which servers end.
 *
 * @module
 */
import t from 'tap';
import { simulatePartStorm } from '../../../test/support/part_storm.js';

/** Requests with such a part that may still reach servers, trials too. */
const MAX_LATE = 3;

const MIN_SOUND_SERVED = 0.97;

const TEST_TIMEOUT_MS = 240_000;

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
