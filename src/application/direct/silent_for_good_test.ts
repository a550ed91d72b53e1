/**
 * Tests calls while some servers are silent for good: frozen, without power, or cut off.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { CutMode } from '../../../test/support/cut_fleet.js';
import { startDirectHost } from '../../../test/support/direct_host.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import { SlowFleet } from '../../../test/support/slow_fleet.js';
import type { SpanResult } from '../../../test/support/slow_fleet.js';

const TEST_TIMEOUT_MS = 200_000;

const PLAYS = 24;

/** Longest wait of a call at silent servers before another one is asked, in milliseconds. */
const MAX_READ_WAIT_MS = 900;
const MAX_STREAM_WAIT_MS = 1_900;

/** Smallest fraction of calls that is served while other servers are free. */
const MIN_SERVED = 0.97;

/** Average time of sound servers, in milliseconds. */
const RUN_MS = 50;

/** A run that never answers, in milliseconds. */
const FROZEN_MS = 1e9;

const READS = { isRepeatable: true, timeoutMs: 2_000, targetMs: 200, maxAttempts: 2 };

const STREAMS = {
  isStream: true,
  isResumable: true,
  timeoutMs: 2_500,
  targetMs: 400,
  targetGapMs: 200,
  maxAttempts: 2,
};

/** How servers fall silent. */
enum Silence {
  /** Connections open, and nothing is answered. */
  Frozen = 'frozen',
  /** Nothing arrives from any host. */
  Dark = 'dark',
  /** Nothing arrives from some of the hosts. */
  Cut = 'cut',
  /** Connections are reset, and new ones refused. */
  Ended = 'ended',
}

function silence(fleet: SlowFleet, random: SeededRandom, how: Silence): void {
  const ids = fleet.serverIds;
  const servers = ids.slice(0, Math.ceil(ids.length * (0.1 + 0.3 * random.nextFraction())));
  const hosts = fleet.hosts.map(({ peers }) => peers.identity.id);
  const some = hosts.slice(0, Math.ceil(hosts.length * (0.2 + 0.4 * random.nextFraction())));
  if (how === Silence.Frozen) servers.forEach((id) => fleet.runMs.set(id, FROZEN_MS));
  else if (how === Silence.Ended) fleet.end(servers);
  else fleet.cut(how === Silence.Dark ? hosts : some, CutMode.Hang, servers);
}

interface SilenceResult extends SpanResult {
  /** Calls that were left at one silent server, though the budget granted another one. */
  readonly left: readonly string[];
}

/** Plays servers that fall silent at a drawn moment, and measures the calls from then on. */
async function playSilence(t: Test, seed: number, how: Silence): Promise<SilenceResult> {
  const random = new SeededRandom(seed);
  const hosts = [6, 13, 20][seed % 3] as number;
  const isStream = seed % 8 >= 4;
  const route = isStream ? STREAMS : READS;
  const fleet = new SlowFleet(t, {
    hosts,
    servers: 14,
    route,
    seed,
    runMs: RUN_MS,
    events: isStream ? 5 : 0,
  });
  await fleet.start();
  const callsPerSecond = 40 + 60 * random.nextFraction();
  await fleet.run({ callsPerSecond, durationMs: 2_000 + 1_000 * random.nextFraction() });
  silence(fleet, random, how);
  const load = { callsPerSecond, durationMs: 3_000, request: { deadlineMs: route.timeoutMs } };
  const soonMs = isStream ? MAX_STREAM_WAIT_MS : MAX_READ_WAIT_MS;
  const result = await fleet.measure(load, route.timeoutMs, soonMs);
  return { ...result, left: fleet.listLeft() };
}

t.test('calls to servers that are silent for good are answered elsewhere, and soon', async (t) => {
  // Guards against calls that are kept at silent servers while others are free.
  t.setTimeout(TEST_TIMEOUT_MS);
  const total = { sent: 0, served: 0, soon: 0 };
  for (let seed = 1; seed <= PLAYS; seed += 1) {
    const how = Object.values(Silence)[seed % 4] as Silence;
    const { left, ...result } = await playSilence(t, seed, how);
    total.sent += result.sent;
    total.served += result.served;
    total.soon += result.soon;
    const { served, sent, soon } = result;
    t.same(left, [], `seed ${seed}, ${how}: ${served} of ${sent}, ${soon} soon; none is left`);
  }
  const { sent, served, soon } = total;
  t.ok(served / sent >= MIN_SERVED, `${served} of ${sent} calls are answered`);
  t.ok(soon / sent >= MIN_SERVED, `${soon} of ${sent} calls are answered soon`);
});

t.test('streams whose time is short go on at idle servers while there is time', async (t) => {
  // Guards against streams that are kept until their time is over because all servers that the
  // host awaits answers of are frozen.
  for (const deadlineMs of [1_800, 2_000, 2_500]) {
    const servers = ['s-1', 's-2', 's-3', 's-4', 's-5'];
    const host = await startDirectHost(t, { route: STREAMS }, servers);
    const replies = [host.call({ deadlineMs }), host.call({ deadlineMs })];
    host.backend.onSend = (exchange) => {
      host.clock.setTimer(RUN_MS, () => {
        exchange.sendHead({ isEventStream: true });
        exchange.events(1, 3);
        exchange.listener.onComplete();
      });
    };
    await host.clock.advance(deadlineMs);
    t.ok(
      replies.every(({ head, hasEnded }) => head?.status === 200 && hasEnded),
      `both streams of ${deadlineMs} ms are answered elsewhere`,
    );
  }
});
