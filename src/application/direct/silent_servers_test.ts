/**
 * Tests sound servers that fall silent for a moment and go on.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import type { DocumentChanges } from '../../../test/support/direct_host.js';
import { SilentFleet } from '../../../test/support/silent_fleet.js';

const TEST_TIMEOUT_MS = 200_000;

const DEADLINE_MS = 12_000;

const STREAMS = {
  isStream: true,
  isResumable: true,
  timeoutMs: DEADLINE_MS,
  targetMs: 400,
  targetGapMs: 200,
  maxAttempts: 2,
};

const READS = { isRepeatable: true, timeoutMs: 2_500, targetMs: 200, maxAttempts: 2 };

/** Smallest fraction of reads that is served where servers fall silent and nothing else is wrong. */
const MIN_SERVED = 0.97;

/** Longest time for which two servers may work on one stream, in milliseconds. */
const MAX_OVERLAP_MS = 400;

/** Picks one of the servers, some, or all of them. */
function drawServers(random: SeededRandom, ids: readonly string[]): readonly string[] {
  const drawn = random.nextFraction();
  if (drawn < 0.2) return ids;
  const share = drawn < 0.6 ? 1 / ids.length : random.nextFraction();
  return drawSome(random, ids, Math.max(1, Math.round(share * ids.length)));
}

function drawSome(random: SeededRandom, ids: readonly string[], count: number): readonly string[] {
  const first = Math.floor(random.nextFraction() * ids.length);
  return Array.from({ length: count }, (_, index) => ids[(first + index) % ids.length] as string);
}

/** Draws a configuration that may take the callers' key away. */
function drawChange(random: SeededRandom, version: number): DocumentChanges {
  const keys = random.nextFraction() < 0.3 ? ['key-b'] : ['key-a'];
  return { keys, route: { ...STREAMS, targetMs: 300 + version } };
}

interface Play {
  readonly hosts: number;
  readonly seed: number;
  /** Whether any servers fall silent and have room, or one at a time where most are full. */
  readonly hasRoom: boolean;
}

/** Plays streams while servers fall silent and configurations change at drawn moments. */
async function playStreams(t: Test, { hosts, seed, hasRoom }: Play): Promise<SilentFleet> {
  const random = new SeededRandom(seed);
  const fleet = new SilentFleet(t, {
    hosts,
    servers: hasRoom ? Math.max(12, Math.ceil(hosts / 2)) : 12,
    slots: hasRoom ? 11 : 4,
    seed,
    route: STREAMS,
    runMs: 3_000,
    events: 20,
  });
  await fleet.start();
  for (let version = 2; version < 6; version += 1) {
    const ids = hasRoom
      ? drawServers(random, fleet.serverIds)
      : drawSome(random, fleet.serverIds, 1);
    fleet.silence(ids, 500 + random.nextFraction() * 1_500);
    const durationMs = 300 + random.nextFraction() * 900;
    await fleet.run({ callsPerSecond: 20, durationMs, request: { deadlineMs: DEADLINE_MS } });
    fleet.publish(version, drawChange(random, version));
  }
  await fleet.clock.advance(DEADLINE_MS);
  return fleet;
}

/** Calls whose answers were broken off, with what their hosts say about that. */
function listBroken(fleet: SilentFleet): string[] {
  return fleet.calls.flatMap(({ reply, hostId }, index) => {
    if (reply.head === undefined || fleet.isWhole(reply)) return [];
    const requestId = `call-${index + 1}`;
    const lines = fleet.findHost(hostId).log.list('call_broken_off');
    const end = lines.find((line) => line.requestId === requestId);
    return [`${requestId} at ${hostId}: ${String(end?.kind)}`];
  });
}

async function checkStreams(t: Test, play: Play): Promise<void> {
  const fleet = await playStreams(t, play);
  const name = `${play.hosts} hosts, seed ${play.seed}`;
  t.strictSame(listBroken(fleet), [], `${name}: ${fleet.calls.length} calls`);
  const longestMs = Math.max(0, ...fleet.measureOverlaps());
  t.ok(longestMs < MAX_OVERLAP_MS, `${name}: two servers at once for ${longestMs} ms`);
}

t.test(
  'streams of sound servers that fall silent and go on reach their callers whole',
  async (t) => {
    // Guards against streams that are given up for a server that then doesn't take them.
    t.setTimeout(TEST_TIMEOUT_MS);
    const seeds = { 6: 20, 13: 8, 20: 6, 66: 1, 195: 1 };
    for (const [hosts, count] of Object.entries(seeds)) {
      for (let seed = 6_300; seed < 6_300 + count; seed += 1)
        await checkStreams(t, { hosts: Number(hosts), seed, hasRoom: true });
    }
  },
);

t.test('streams stay at a silent server where the others are full', async (t) => {
  // Guards against streams that are given up for a server that declines them.
  t.setTimeout(TEST_TIMEOUT_MS);
  const seeds = { 6: 10, 13: 5, 20: 3 };
  for (const [hosts, count] of Object.entries(seeds)) {
    for (let seed = 6_350; seed < 6_350 + count; seed += 1)
      await checkStreams(t, { hosts: Number(hosts), seed, hasRoom: false });
  }
});

t.test('reads of sound servers that fall silent and go on are answered', async (t) => {
  // Guards against reads that are given up for a server that then doesn't answer them in time.
  t.setTimeout(TEST_TIMEOUT_MS);
  for (const hosts of [6, 13, 20]) {
    const fleet = new SilentFleet(t, { hosts, servers: 8, seed: 631, route: READS, runMs: 300 });
    const random = new SeededRandom(hosts);
    await fleet.start();
    for (let step = 0; step < 10; step += 1) {
      fleet.silence(drawServers(random, fleet.serverIds), 500 + 1_000 * random.nextFraction());
      await fleet.run({ callsPerSecond: 25, durationMs: 2_000, request: { deadlineMs: 2_500 } });
    }
    await fleet.clock.advance(3_000);
    const whole = fleet.calls.filter(({ reply }) => fleet.isWhole(reply)).length;
    const sent = fleet.calls.length;
    t.ok(whole / sent >= MIN_SERVED, `${hosts} hosts: ${whole} of ${sent}`);
  }
});
