/**
 * Tests how many requests reach servers that share a part of their prompts which ends them, by the
 * rate of such requests, the number of hosts and the delay of notes between them.
 *
 * @module
 */
import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { simulatePartStorm } from '../../../test/support/part_storm.js';

/** Crashes that put a part in doubt. */
const DOUBT_CRASHES = 3;

/** Requests that are sent as trials. */
const MAX_TRIALS = 3;

/** Most hosts that are all linked with each other; larger fleets have relays. */
const MAX_MESH_HOSTS = 12;

/** Messages from one host to another that way, and through their relays. */
const MESH_HOPS = 1;
const RELAY_HOPS = 3;

/** Time in which hosts wait for further notes of an end, in milliseconds. */
const NOTE_SETTLE_MS = 50;

/** Standard deviations by which requests that come at random may be more than their mean. */
const DEVIATIONS = 3;

/** Step of the simulation, by which requests come together, in milliseconds. */
const STEP_MS = 25;

/** Storms that are drawn for each size of fleet. */
const SEEDS = 4;

const MS_PER_SECOND = 1_000;

const TEST_TIMEOUT_MS = 240_000;

interface Storm {
  readonly hosts: number;
  readonly crashingPerSecond: number;
  readonly messageDelayMs: number;
  readonly crashDelayMs: number;
  readonly maxAttempts: number;
}

function drawStorm(seed: number, hosts: number): Storm {
  const random = new SeededRandom(seed);
  const pickBetween = (low: number, high: number): number =>
    low + Math.floor(random.nextFraction() * (high - low + 1));
  return {
    hosts,
    crashingPerSecond: pickBetween(1, 30),
    messageDelayMs: pickBetween(1, 150),
    crashDelayMs: pickBetween(40, 400),
    maxAttempts: pickBetween(1, 2),
  };
}

/** Computes the bound of docs/design/server-ending-requests.md. */
function computeBound(storm: Storm): number {
  const { hosts, crashingPerSecond, messageDelayMs, crashDelayMs, maxAttempts } = storm;
  const hops = hosts > MAX_MESH_HOSTS ? RELAY_HOPS : MESH_HOPS;
  const knownAfterMs = crashDelayMs + hops * messageDelayMs + NOTE_SETTLE_MS + STEP_MS;
  const mean = (crashingPerSecond * knownAfterMs) / MS_PER_SECOND;
  const unaware = mean + DEVIATIONS * Math.sqrt(mean);
  return DOUBT_CRASHES + maxAttempts * unaware + MAX_TRIALS;
}

[6, 13, 20].forEach((hosts) => {
  t.test(`few such requests reach servers at any rate and delay, ${hosts} hosts`, async (t) => {
    // Guards against a number that grows with hosts, rates or delays faster than the design note says.
    t.setTimeout(TEST_TIMEOUT_MS);
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const storm = drawStorm(seed * 101 + hosts, hosts);
      const { reached, late } = await simulatePartStorm(t, {
        ...storm,
        seed,
        sharesReports: true,
        servers: 20,
        route: { isRepeatable: true, maxAttempts: storm.maxAttempts },
      });
      const bound = computeBound(storm);
      const text = `${reached} reach servers, ${late} late, ${bound.toFixed(1)} may: ${JSON.stringify(storm)}`;
      t.ok(reached <= bound, text);
      t.ok(late <= MAX_TRIALS, text);
    }
  });
});
