/**
 * Tests which calls give retry budget, and that all hosts keep its bound together.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { CutMode } from '../../../test/support/cut_fleet.js';
import { startDirectHost } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import { countWithin } from '../../../test/support/retry_fleet.js';
import { SlowFleet } from '../../../test/support/slow_fleet.js';

const TEST_TIMEOUT_MS = 200_000;

const PLAYS = 6;

/** Retry budget of the fakes' services. */
const BOUNDS = { ratio: 0.2, slack: 50, windowMs: 10_000 };

const READS = { isRepeatable: true, timeoutMs: 2_000, targetMs: 200, maxAttempts: 2 };

/** Longest time until a call counts, in milliseconds: its own time. */
const MAX_COUNT_DELAY_MS = READS.timeoutMs;

const CALL_INTERVAL_MS = 100;

/** As many as have slots for all calls of two seconds. */
const SERVERS = Array.from({ length: 20 }, (_, index) => `s-${index + 1}`);

/** Sends calls to a host for eight seconds, and fails the last one. @returns how many calls count */
async function countCounted(host: DirectHost): Promise<number> {
  for (let count = 0; count < 80; count += 1) {
    host.call({ deadlineMs: READS.timeoutMs });
    await host.clock.advance(CALL_INTERVAL_MS);
  }
  const last = host.backend.sent.at(-1);
  Object.assign(last as object, { mayHaveBeenSent: true });
  last?.sendResponse(500);
  const decisions = [...host.log.list('retry_refused'), ...host.log.list('retry_granted')];
  return Math.max(0, ...decisions.map(({ attempts }) => Number(attempts)));
}

t.test('calls at servers that are slow give retry budget before they are answered', async (t) => {
  // Guards against hosts that count no attempts for as long as their servers take.
  const host = await startDirectHost(t, { route: READS }, SERVERS);
  const counted = await countCounted(host);
  t.ok(counted >= 60 && counted <= 80, `${counted} of 80 calls count`);
});

t.test('calls that no server can have received give no retry budget', async (t) => {
  // Guards against a budget that grows at a host that is cut off from its servers.
  const host = await startDirectHost(t, { route: READS }, SERVERS);
  host.backend.onSend = (exchange) => {
    Object.assign(exchange, { mayHaveBeenSent: false });
  };
  t.equal(await countCounted(host), 1);
});

type Change = (fleet: SlowFleet, random: SeededRandom) => void;

function drawIds(random: SeededRandom, ids: readonly string[]): string[] {
  const share = random.nextFraction();
  return ids.filter(() => random.nextFraction() < share);
}

function cut(mode: CutMode): Change {
  return (fleet, random) => {
    const hosts = fleet.hosts.map(({ peers }) => peers.identity.id);
    fleet.cut(drawIds(random, hosts), mode, drawIds(random, fleet.serverIds));
  };
}

const CHANGES: readonly Change[] = [
  cut(CutMode.Hang),
  cut(CutMode.Reset),
  (fleet) =>
    fleet.cut(
      fleet.hosts.map(({ peers }) => peers.identity.id),
      CutMode.Hang,
    ),
  (fleet) => fleet.heal(fleet.hosts.map(({ peers }) => peers.identity.id)),
  (fleet) => fleet.heal(fleet.hosts.map(({ peers }) => peers.identity.id)),
  (fleet, random) =>
    drawIds(random, fleet.serverIds).forEach((id) =>
      fleet.runMs.set(id, 3_000 * random.nextFraction()),
    ),
  (fleet) => fleet.runMs.clear(),
];

/** Plays a history of cuts and of servers that turn slow, at drawn moments. */
async function playHistory(t: Test, seed: number): Promise<SlowFleet> {
  const random = new SeededRandom(seed);
  const hosts = [6, 13, 20][seed % 3] as number;
  const fleet = new SlowFleet(t, { hosts, servers: 8, route: READS, seed, runMs: 300 });
  await fleet.start();
  const callsPerSecond = 40 + 80 * random.nextFraction();
  for (let step = 0; step < 12; step += 1) {
    const change = CHANGES[Math.floor(random.nextFraction() * CHANGES.length)] as Change;
    change(fleet, random);
    await fleet.run({ callsPerSecond, durationMs: 500 + 3_000 * random.nextFraction() });
  }
  await fleet.clock.advance(READS.timeoutMs);
  return fleet;
}

/** When runs beyond the first one of each call began. */
function listRepeats({ runs }: SlowFleet): number[] {
  const seen = new Set<string>();
  return runs
    .filter(({ requestId }) => seen.has(requestId) || !seen.add(requestId))
    .map(({ atMs }) => atMs);
}

/** Repeats beyond the formula and beyond the published budget, in the worst window of each. */
function measureExcess(fleet: SlowFleet): readonly [number, number] {
  const { ratio, slack, windowMs } = BOUNDS;
  const sent = fleet.calls.map(({ atMs }) => atMs);
  const repeats = listRepeats(fleet);
  const excesses = repeats.map((fromMs) => {
    const untilMs = fromMs + windowMs;
    const count = countWithin(repeats, fromMs, untilMs);
    const earliestMs = fromMs - windowMs - MAX_COUNT_DELAY_MS;
    const own = 0.5 * ratio * countWithin(sent, earliestMs, untilMs) + 0.4 * slack;
    const windows = [0, windowMs / 2, windowMs].map((ms) =>
      countWithin(sent, fromMs - ms, untilMs - ms),
    );
    return [count - own, count - ratio * Math.max(...windows) - slack] as const;
  });
  return [Math.max(...excesses.map(([own]) => own)), Math.max(...excesses.map(([, all]) => all))];
}

t.test(
  'repeats at servers keep their bound while servers are slow, cut off and back',
  async (t) => {
    // Guards against a budget that grows by calls which never arrive, and is spent once servers are back.
    t.setTimeout(TEST_TIMEOUT_MS);
    for (let seed = 1; seed <= PLAYS; seed += 1) {
      const fleet = await playHistory(t, seed);
      const [own, published] = measureExcess(fleet);
      const repeats = listRepeats(fleet).length;
      const name = `seed ${seed}: ${repeats} repeats of ${fleet.calls.length} calls`;
      t.ok(own <= 0, `${name}, ${own.toFixed(1)} beyond the formula`);
      t.ok(published <= 0, `${name}, ${published.toFixed(1)} beyond the published budget`);
    }
  },
);
