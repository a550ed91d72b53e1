/**
 * Tests slots that are lent while the time of calls changes.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { buildDocument } from '../../../test/support/direct_host.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import { RefusalFleet } from '../../../test/support/refusal_fleet.js';

const LONG_MS = 10_000;

const SHORT_MS = 1_000;

/** Calls that last long, more than their host has slots. */
const LONG_CALLS = 5;

/** Time in which all of these have begun, in milliseconds. */
const BEGIN_MS = 700;

/** Time for which they are beside short ones, in milliseconds. */
const BESIDE_MS = 6_500;

/** Plays long calls of one host that borrows slots. @returns refusals of the short ones after them */
async function countRefusals(t: Test, seed: number, isShortened: boolean): Promise<number> {
  const route = { timeoutMs: LONG_MS, targetMs: 400 };
  const options = { hosts: 6, servers: 2, slots: 4, declinesPerSecond: 1, runMs: 120, route, seed };
  const random = new SeededRandom(seed);
  const fleet = new RefusalFleet(t, options);
  const request = { deadlineMs: LONG_MS };
  const light = { callsPerSecond: 12, request };
  await fleet.start();
  fleet.isNamed = true;
  await fleet.run({ ...light, durationMs: 3_000 });
  await fleet.clock.advance(500);
  Object.assign(options, { runMs: 7_000 });
  const host = fleet.hosts
    .slice(Math.floor(random.nextFraction() * fleet.hosts.length))
    .slice(0, 1);
  for (let count = 0; count < LONG_CALLS; count += 1) fleet.call(request, host);
  const shortened = buildDocument(2, { route: { ...route, timeoutMs: SHORT_MS } });
  if (isShortened) fleet.hosts.forEach(({ feed }) => feed.put('configuration', shortened));
  await fleet.clock.advance(BEGIN_MS);
  Object.assign(options, { runMs: 120 });
  const fromMs = fleet.clock.nowMs();
  await fleet.run({ ...light, durationMs: BESIDE_MS });
  return fleet.refusals.filter(({ atMs }) => atMs >= fromMs).length;
}

t.test(
  'a lent slot is not used by its owner beside a call that began with more time',
  async (t) => {
    // Guards against servers that two hosts overfill after the time of calls was shortened.
    for (const seed of [2, 4, 5]) {
      t.equal(await countRefusals(t, seed, false), 0, `seed ${seed}, the same time`);
      t.equal(await countRefusals(t, seed, true), 0, `seed ${seed}, less time`);
    }
  },
);
