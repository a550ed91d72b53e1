/**
 * Simulates requests, no two alike, that share one part of their prompts which crashes servers.
 *
 * @module
 */
import type { Test } from 'tap';
import { ErrorKind, RunOutcome } from '../../src/domain/errors/mod.js';
import type { DirectRequest } from '../../src/ports/mod.js';
import { CrashFleet } from './crash_fleet.js';
import type { CrashFleetOptions } from './crash_fleet.js';
import type { FakeReply } from './direct_ends.js';
import { SeededRandom } from './fakes.js';

/** Time after which hosts that are in touch know what others saw, in milliseconds. */
const CONTACT_MS = 3_000;

/** Number of crashes under a part after which few requests with it may reach servers. */
const CRASHES_TO_HOLD = 5;

/** Time after those crashes in which requests that were under way then may still crash servers. */
const REPEAT_MS = 2_000;

/** Time in which servers that have returned should serve as before, in milliseconds. */
const RETURN_MS = 2_000;

const STEP_MS = 25;

const MS_PER_SECOND = 1_000;

/** Shape of the prompts. */
export interface PartStormOptions extends Partial<CrashFleetOptions> {
  readonly seed: number;
  /** Requests a second that name a crashing part. Default: 8. */
  readonly crashingPerSecond?: number;
  /** Sound requests a second. Default: 40. */
  readonly soundPerSecond?: number;
  /** Time before the first crashing request, in milliseconds. Default: 2,000. */
  readonly calmMs?: number;
  /** Time in which crashing requests come, in milliseconds. Default: 12,000. */
  readonly stormMs?: number;
  /** Crashing requests that come at once. Default: 0. */
  readonly burst?: number;
  /** When these come, in milliseconds after the first crashing request. Default: 0. */
  readonly burstAtMs?: number;
  /** Builds the shared parts of a crashing request. Default: a first part and the crashing one. */
  readonly pickCrashing?: (random: SeededRandom, elapsedMs: number) => readonly string[];
  /** Builds the shared parts of a sound request. Default: the same first part and one of ten. */
  readonly pickSound?: (random: SeededRandom) => readonly string[];
  /** Keys of the callers of sound requests. Default: that of the crashing ones. */
  readonly soundKeys?: readonly string[];
  /** Servers that crash by themselves: so many each two seconds, with calls or not. Default: 0. */
  readonly strayCrashes?: number;
  /** Called at each step, to play other troubles. */
  readonly onStep?: (fleet: CrashFleet, elapsedMs: number) => void;
}

/** What came of it. */
export interface PartStormResult {
  /** Servers that crashed under each crashing part. */
  readonly crashes: Readonly<Record<string, number>>;
  /** Requests with a crashing part that reached servers; the largest number of any part. */
  readonly reached: number;
  /** Requests with a crashing part that reached servers too late; the largest number of any part. */
  readonly late: number;
  /** Fraction of the sound requests that were served once each part had crashed five servers. */
  readonly soundServed: number;
  /**
   * Fraction of the sound requests that were served in the two seconds from when half of the servers
   * were up again; at the earliest, two seconds after the fifth crash of each part.
   */
  readonly servedOnReturn: number;
  /** Number of sound requests that were refused as ones that crash servers. */
  readonly soundHeld: number;
  /** Refusals as not run of requests that ran. */
  readonly untrueRefusals: number;
}

interface SentRequest {
  readonly atMs: number;
  readonly body: string;
  readonly reply: FakeReply;
  /** Number of servers that were up. */
  readonly upCount: number;
}

/** The shared parts that all prompts begin with by default. */
export const FIRST_PART = 'aa01';

function pickDefaultSound(random: SeededRandom): string[] {
  return [FIRST_PART, `topic-${Math.floor(random.nextFraction() * 10)}`];
}

/**
 * @param t - test at whose end the simulation stops
 * @param options - the fleet, and the requests
 * @returns what came of it
 */
export async function simulatePartStorm(
  t: Test,
  options: PartStormOptions,
): Promise<PartStormResult> {
  const { seed, crashingPerSecond = 8, soundPerSecond = 40, calmMs = 2_000 } = options;
  const { stormMs = 12_000, burst = 0, burstAtMs = 0, strayCrashes = 0, servers = 14 } = options;
  const { pickCrashing = () => [FIRST_PART, 'ends-1'], pickSound = pickDefaultSound } = options;
  const { soundKeys = ['key-a'] } = options;
  const random = new SeededRandom(seed);
  const fleet = new CrashFleet(t, {
    hosts: 6,
    servers,
    restartDelayMs: 3_000,
    accounts: ['firm-b', 'firm-c'],
    ...options,
  });
  await fleet.start();
  const sound: SentRequest[] = [];
  const all: SentRequest[] = [];
  const send = (body: string, parts: readonly string[], changes: Partial<DirectRequest>): void => {
    const prompt = {
      model: 'm',
      parts: [...parts, `own-${all.length}`].map((id) => ({ id, tokens: 100 })),
    };
    const host = Math.floor(random.nextFraction() * fleet.hosts.length);
    const { upCount } = fleet;
    const requestId = `call-${all.length}`;
    const reply = fleet.call(host, body, { requestId, prompt, ...changes });
    const request = { atMs: fleet.clock.nowMs(), body, reply, upCount };
    all.push(request);
    if (body.startsWith('sound')) sound.push(request);
  };
  const sendMany = (perSecond: number, sendOne: () => void): void => {
    const count = (perSecond * STEP_MS) / MS_PER_SECOND;
    for (let left = count; random.nextFraction() < left; left -= 1) sendOne();
  };
  const startedAtMs = fleet.clock.nowMs();
  const stormAtMs = startedAtMs + calmMs;
  for (let elapsedMs = 0; elapsedMs < calmMs + stormMs; elapsedMs += STEP_MS) {
    const stormElapsedMs = elapsedMs - calmMs;
    const sendCrashing = (): void =>
      send(`bad ${all.length}`, pickCrashing(random, stormElapsedMs), { key: 'key-a' });
    sendMany(soundPerSecond, () => {
      const key = soundKeys[Math.floor(random.nextFraction() * soundKeys.length)] as string;
      send(`sound ${all.length}`, pickSound(random), { key });
    });
    if (stormElapsedMs >= 0) sendMany(crashingPerSecond, sendCrashing);
    if (stormElapsedMs === burstAtMs) for (let left = burst; left > 0; left -= 1) sendCrashing();
    if (strayCrashes > 0 && elapsedMs % 2_000 === 0) {
      const ids = Array.from({ length: strayCrashes }, () => pickServer(random, options));
      fleet.crashServers(ids);
    }
    options.onStep?.(fleet, stormElapsedMs);
    await fleet.clock.advance(STEP_MS);
  }
  await fleet.clock.advance(5_000);
  const parts = [...new Set(fleet.crashes.flatMap(({ body }) => body ?? []))];
  const counts = parts.map((part) => {
    const fifthAtMs = fleet.findCrashMs(part, CRASHES_TO_HOLD);
    const reached = fleet.countPartArrivals(part, stormAtMs);
    return { reached, late: fleet.countPartArrivals(part, fifthAtMs + CONTACT_MS) };
  });
  const isSettled = ({ atMs }: SentRequest): boolean =>
    atMs >= stormAtMs && parts.every((part) => !isUnsettled(fleet, part, atMs));
  const fifthCrashesAtMs = parts.map((part) => fleet.findCrashMs(part, CRASHES_TO_HOLD));
  const isReturned = ({ atMs, upCount }: SentRequest): boolean =>
    upCount >= servers / 2 && atMs >= Math.max(...fifthCrashesAtMs) + REPEAT_MS;
  const returnedAtMs = sound.find(isReturned)?.atMs ?? Infinity;
  const isSentOnReturn = ({ atMs }: SentRequest): boolean =>
    atMs >= returnedAtMs && atMs < returnedAtMs + RETURN_MS;
  const lateSound = sound.filter(isSettled);
  const ran = new Set(fleet.arrivals.map(({ body }) => body));
  return {
    crashes: Object.fromEntries(parts.map((part) => [part, countCrashes(fleet, part)])),
    reached: Math.max(0, ...counts.map(({ reached }) => reached)),
    late: Math.max(0, ...counts.map(({ late }) => late)),
    soundServed: computeServed(lateSound),
    servedOnReturn: computeServed(sound.filter(isSentOnReturn)),
    soundHeld: sound.filter(({ reply }) => reply.error?.kind === ErrorKind.RequestHeld).length,
    untrueRefusals: all.filter(
      ({ body, reply }) => reply.error?.run === RunOutcome.NotRun && ran.has(body),
    ).length,
  };
}

function pickServer(random: SeededRandom, { servers = 14 }: PartStormOptions): string {
  return `s-${1 + Math.floor(random.nextFraction() * servers)}`;
}

/** Whether a time lies between the first crash under a part and two contact times after the fifth. */
function isUnsettled(fleet: CrashFleet, part: string, atMs: number): boolean {
  const crashCount = Math.min(CRASHES_TO_HOLD, countCrashes(fleet, part));
  const settledAtMs = fleet.findCrashMs(part, crashCount) + 2 * CONTACT_MS;
  return atMs >= fleet.findCrashMs(part, 1) && atMs < settledAtMs;
}

function countCrashes(fleet: CrashFleet, part: string): number {
  return fleet.crashes.filter(({ body }) => body === part).length;
}

function computeServed(requests: readonly SentRequest[]): number {
  const served = requests.filter(({ reply }) => reply.head?.status === 200 && reply.hasEnded);
  return requests.length === 0 ? 1 : served.length / requests.length;
}

/**
 * Draws a storm: its fleet, its pace, its prompts and what else goes wrong.
 *
 * @param seed - seed of the storm
 * @returns its options
 */
export function buildRandomStorm(seed: number): PartStormOptions {
  const random = new SeededRandom(seed);
  const pickInteger = (count: number): number => Math.floor(random.nextFraction() * count);
  const pickOne = <Value>(values: readonly Value[]): Value =>
    values[pickInteger(values.length)] as Value;
  const partCount = 1 + pickInteger(2);
  const place = pickInteger(4);
  const topics = 1 + pickInteger(30);
  const pickParts = (one: SeededRandom): string[] => [
    FIRST_PART,
    `topic-${Math.floor(one.nextFraction() * topics)}`,
    `page-${Math.floor(one.nextFraction() * 400)}`,
  ];
  const isStream = pickInteger(3) === 0;
  return {
    seed,
    hosts: 2 + pickInteger(7),
    servers: 10 + pickInteger(10),
    slots: 4 + pickInteger(8),
    runMs: 50 + pickInteger(400),
    route: { isStream, isRepeatable: pickInteger(2) === 0, maxAttempts: 1 + pickInteger(3) },
    beginsBeforeCrash: isStream && pickInteger(2) === 0,
    crashDelayMs: pickOne([40, 60, 200, 600]),
    restartDelayMs: pickOne([600, 3_000, 10_000]),
    crashingPerSecond: pickOne([1, 3, 8]),
    burst: pickOne([0, 0, 5]),
    calmMs: pickOne([0, 1_000, 4_000]),
    stormMs: 16_000,
    strayCrashes: pickOne([0, 0, 1]),
    soundKeys: pickOne([['key-a'], ['key-a', 'key-firm-b']]),
    pickSound: pickParts,
    pickCrashing: (one) => {
      const parts = pickParts(one);
      parts.splice(place, 0, `ends-${Math.floor(one.nextFraction() * partCount)}`);
      return parts;
    },
  };
}
