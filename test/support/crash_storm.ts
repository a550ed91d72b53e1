/**
 * Many requests that end servers, failing racks and sound requests all at once.
 *
 * @module
 */
import type { Test } from 'tap';
import { ErrorKind } from '../../src/domain/errors/mod.js';
import { CrashFleet } from './crash_fleet.js';
import type { FakeReply } from './direct_ends.js';
import { SeededRandom } from './fakes.js';

const CONTACT_MS = 3_000;
const MAX_LATER = 3;
const ROUNDS = 150;

/** Servers of one rack, which end at the same moment. */
const RACK_SIZE = 3;

/** What one storm showed. */
export interface Storm {
  /** Contents that were held and end no server. */
  readonly heldSound: readonly string[];
  /** Contents that end servers, and were sent on too often. */
  readonly sentOn: readonly string[];
}

/** How a storm is played. */
export interface StormOptions {
  readonly seed: number;
  /** Rounds before the first trouble, in which what many callers ask for is answered. */
  readonly calmRounds: number;
  /** Part of all requests that servers answer with an error instead of running them. Default: 0. */
  readonly errorShare?: number;
}

/**
 * Plays a storm.
 *
 * @param t - the test that it ends with
 * @param options - how it is played
 * @returns what was held, and what was not
 */
export async function playStorm(
  t: Test,
  { seed, calmRounds, errorShare = 0 }: StormOptions,
): Promise<Storm> {
  const random = new SeededRandom(seed);
  const pick = (count: number): number => Math.floor(random.nextFraction() * count);
  const hosts = 3 + pick(6);
  const servers = 6 + pick(14);
  const kinds = pick(5);
  const fleet = new CrashFleet(t, {
    hosts,
    servers,
    slots: 2 + pick(8),
    runMs: 50 + pick(600),
    route: { isRepeatable: pick(2) === 0, maxAttempts: 1 + pick(3) },
    errorShare,
    seed,
  });
  await fleet.start();
  const replies: { readonly body: string; readonly reply: FakeReply }[] = [];
  const roundMs = 40 + pick(200);
  for (let round = 0; round < ROUNDS; round += 1) {
    const isCalm = round < calmRounds;
    if (kinds > 0 && pick(3) > 0 && !isCalm) fleet.call(pick(hosts), `ends ${pick(kinds)}`);
    [`sound ${round}`, `sound ${pick(10)}`, `popular ${pick(2)}`].forEach((body) => {
      replies.push({ body, reply: fleet.call(pick(hosts), body) });
    });
    if (pick(40) === 0 && !isCalm) {
      const first = pick(servers);
      const rack = Array.from(
        { length: RACK_SIZE },
        (_, at) => `s-${1 + ((first + at) % servers)}`,
      );
      fleet.endServers(rack);
    }
    await fleet.clock.advance(roundMs * (0.5 + random.nextFraction()));
  }
  const held = replies.filter(({ reply }) => reply.error?.kind === ErrorKind.RequestHeld);
  const ending = Array.from({ length: kinds }, (_, kind) => `ends ${kind}`);
  return {
    heldSound: [...new Set(held.map(({ body }) => body))],
    sentOn: ending.filter(
      (body) => fleet.countArrivals(body, fleet.findEndMs(body, 3) + CONTACT_MS) > MAX_LATER,
    ),
  };
}
