/**
 * Tests reads of sound servers of which some are slow, or which all turn slow at one moment.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { SlowFleet } from '../../../test/support/slow_fleet.js';
import type { SpanResult } from '../../../test/support/slow_fleet.js';

const TEST_TIMEOUT_MS = 200_000;

/** Smallest fraction of calls that is served where servers are slow, and nothing else is wrong. */
const MIN_SERVED = 0.97;

/** Average time of sound servers that are fast, in milliseconds. */
const FAST_MS = 30;

const SIZES = [6, 13, 20, 66];

const WRITES = { timeoutMs: 2_000, targetMs: 200 };

const READS = { ...WRITES, isRepeatable: true, maxAttempts: 2 };

interface Play {
  readonly hosts: number;
  readonly route: object;
  readonly seed: number;
}

async function startFleet(t: Test, { hosts, route, seed }: Play): Promise<SlowFleet> {
  const servers = Math.max(14, Math.ceil(hosts / 3));
  const fleet = new SlowFleet(t, { hosts, servers, route, seed, runMs: FAST_MS });
  await fleet.start();
  return fleet;
}

function measure(fleet: SlowFleet, hosts: number, durationMs: number): Promise<SpanResult> {
  const load = { callsPerSecond: Math.min(150, 40 + hosts), durationMs };
  return fleet.measure(load, WRITES.timeoutMs);
}

function format(result: SpanResult): string {
  const { served, sent, averageMs, slowestMs, repeatedRuns } = result;
  const times = `${Math.round(averageMs)} ms, 19 of 20 within ${Math.round(slowestMs)} ms`;
  return `${served} of ${sent}, ${times}, ${repeatedRuns} repeated`;
}

function checkServed(t: Test, { served, sent }: SpanResult, name: string): void {
  t.ok(served / sent >= MIN_SERVED, name);
}

/** Plays servers of which one in three takes a drawn time from half of a second on. */
async function playThird(t: Test, play: Play): Promise<SpanResult> {
  const fleet = await startFleet(t, play);
  const random = new SeededRandom(play.seed);
  fleet.serverIds
    .filter((_, index) => index % 3 === 0)
    .forEach((id) => fleet.runMs.set(id, 500 + 700 * random.nextFraction()));
  return measure(fleet, play.hosts, 5_000);
}

interface TurnResult {
  readonly before: SpanResult;
  readonly slow: SpanResult;
  readonly after: SpanResult;
}

/** Plays servers that are fast, slow from one moment on, and fast again. */
async function playTurn(t: Test, play: Play): Promise<TurnResult> {
  const fleet = await startFleet(t, play);
  const random = new SeededRandom(play.seed);
  const before = await measure(fleet, play.hosts, 4_000);
  const slowMs = 900 + 200 * random.nextFraction();
  fleet.serverIds.forEach((id) => fleet.runMs.set(id, slowMs));
  const slow = await measure(fleet, play.hosts, 3_000 + 2_000 * random.nextFraction());
  fleet.runMs.clear();
  return { before, slow, after: await measure(fleet, play.hosts, 4_000) };
}

t.test('reads are answered while one in three servers is slow', async (t) => {
  // Guards against reads that are given up at slow servers, and are served less often than writes.
  t.setTimeout(TEST_TIMEOUT_MS);
  for (const hosts of SIZES) {
    const reads = await playThird(t, { hosts, route: READS, seed: hosts });
    const writes = await playThird(t, { hosts, route: WRITES, seed: hosts });
    checkServed(t, writes, `${hosts} hosts, writes: ${format(writes)}`);
    checkServed(t, reads, `${hosts} hosts, reads: ${format(reads)}`);
  }
});

t.test('reads are answered while all servers turn slow and fast again', async (t) => {
  // Guards against limits that fast days taught, and against slow days that are remembered.
  t.setTimeout(TEST_TIMEOUT_MS);
  for (const hosts of SIZES) {
    const reads = await playTurn(t, { hosts, route: READS, seed: hosts });
    const writes = await playTurn(t, { hosts, route: WRITES, seed: hosts });
    for (const span of ['before', 'slow', 'after'] as const) {
      checkServed(t, writes[span], `${hosts} hosts, ${span}, writes: ${format(writes[span])}`);
      checkServed(t, reads[span], `${hosts} hosts, ${span}, reads: ${format(reads[span])}`);
    }
    for (const span of ['before', 'after'] as const) {
      const { averageMs, repeatedRuns } = reads[span];
      t.equal(repeatedRuns, 0, `${hosts} hosts, ${span}: no read runs twice`);
      t.ok(averageMs <= 1.5 * FAST_MS, `${hosts} hosts, ${span}: reads are as fast as servers`);
    }
  }
});
