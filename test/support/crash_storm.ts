/**
 * Simulates a crash storm: crashing requests, rack failures and harmless requests at once.
 *
 * @module
 */
import type { Test } from 'tap';
import { ErrorKind } from '../../src/domain/errors/mod.js';
import { CrashFleet } from './crash_fleet.js';
import type { FakeReply } from './direct_ends.js';
import { SeededRandom } from './fakes.js';

const PROPAGATION_MS = 3_000;
const MAX_LATE_ARRIVALS = 3;
const ROUND_COUNT = 150;

/** Number of servers in one rack, which fail at the same time. */
const RACK_SIZE = 3;

/** Wrong decisions of the entry hosts in one storm. */
export interface StormResult {
  /** Harmless contents that were quarantined. */
  readonly heldSound: readonly string[];
  /** Crashing contents that were still sent to servers too often after their third crash. */
  readonly sentOn: readonly string[];
}

/** Options of a storm. */
export interface StormOptions {
  readonly seed: number;
  /** Rounds before the first crash, in which popular contents are answered. */
  readonly calmRounds: number;
  /** Fraction of requests that are answered with an error instead of being run. Default: 0. */
  readonly errorFraction?: number;
}

/**
 * Simulates one storm.
 *
 * @param t - test at whose end the simulation stops
 * @param options - options of the storm
 * @returns the harmless contents that were quarantined, and the crashing ones sent too often
 */
export async function simulateStorm(
  t: Test,
  { seed, calmRounds, errorFraction: errorShare = 0 }: StormOptions,
): Promise<StormResult> {
  const random = new SeededRandom(seed);
  const pickInteger = (count: number): number => Math.floor(random.nextFraction() * count);
  const hosts = 3 + pickInteger(6);
  const servers = 6 + pickInteger(14);
  const crashingCount = pickInteger(5);
  const fleet = new CrashFleet(t, {
    hosts,
    servers,
    slots: 2 + pickInteger(8),
    runMs: 50 + pickInteger(600),
    route: { isRepeatable: pickInteger(2) === 0, maxAttempts: 1 + pickInteger(3) },
    errorFraction: errorShare,
    seed,
  });
  await fleet.start();
  const replies: { readonly body: string; readonly reply: FakeReply }[] = [];
  const roundMs = 40 + pickInteger(200);
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    const isCalm = round < calmRounds;
    if (crashingCount > 0 && pickInteger(3) > 0 && !isCalm)
      fleet.call(pickInteger(hosts), `ends ${pickInteger(crashingCount)}`);
    [`sound ${round}`, `sound ${pickInteger(10)}`, `popular ${pickInteger(2)}`].forEach((body) => {
      replies.push({ body, reply: fleet.call(pickInteger(hosts), body) });
    });
    if (pickInteger(40) === 0 && !isCalm) {
      const first = pickInteger(servers);
      const rack = Array.from(
        { length: RACK_SIZE },
        (_, at) => `s-${1 + ((first + at) % servers)}`,
      );
      fleet.crashServers(rack);
    }
    await fleet.clock.advance(roundMs * (0.5 + random.nextFraction()));
  }
  const quarantined = replies.filter(({ reply }) => reply.error?.kind === ErrorKind.RequestHeld);
  const crashingBodies = Array.from({ length: crashingCount }, (_, kind) => `ends ${kind}`);
  return {
    heldSound: [...new Set(quarantined.map(({ body }) => body))],
    sentOn: crashingBodies.filter(
      (body) =>
        fleet.countArrivals(body, fleet.findCrashMs(body, 3) + PROPAGATION_MS) > MAX_LATE_ARRIVALS,
    ),
  };
}
