/**
 * Tests requests through peers whose links fall silent for a moment.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { checkRuns, pickFraction } from '../../../test/support/cut_cases.js';
import { CutFleet, CutMode } from '../../../test/support/cut_fleet.js';
import type { CutFleetOptions } from '../../../test/support/cut_fleet.js';
import { LinkSilences, listProxyPairs } from '../../../test/support/link_silences.js';

const TEST_TIMEOUT_MS = 240_000;

const DEADLINE_MS = 20_000;

const WARMUP_MS = 3_000;

const LOAD_MS = 6_000;

const EVENTS = 30;

/** Sizes of the fleets; more than twelve hosts have relays. */
const FLEET_SIZES = [6, 13, 20];

const STREAM = { isStream: true, timeoutMs: DEADLINE_MS, targetMs: 200, targetGapMs: 1_000 };

const PLAIN = { timeoutMs: DEADLINE_MS, targetMs: 200 };

interface SilencePlay {
  readonly fleet: CutFleet;
  readonly cutIds: readonly string[];
  readonly fromMs: number;
  readonly untilMs: number;
  readonly endedLinks: number;
}

/** Cuts a third of the hosts from all servers, then silences the links to peers that they use. */
async function playSilences(
  t: Test,
  hosts: number,
  options: Pick<CutFleetOptions, 'route' | 'runMs' | 'events'>,
): Promise<SilencePlay> {
  const fleet = new CutFleet(t, { hosts, servers: 12, slots: 60, ...options });
  const request = { deadlineMs: DEADLINE_MS };
  const load = { callsPerSecond: 20, durationMs: WARMUP_MS, request };
  await fleet.start();
  await fleet.run(load);
  const cutIds = pickFraction(0.3)(fleet);
  fleet.cut(cutIds, CutMode.Reset);
  await fleet.run(load);
  const silences = new LinkSilences(fleet, hosts);
  const fromMs = fleet.clock.nowMs();
  silences.play(listProxyPairs(fleet), LOAD_MS);
  await fleet.run({ ...load, durationMs: LOAD_MS });
  const untilMs = fleet.clock.nowMs();
  await fleet.clock.advance(DEADLINE_MS);
  return { fleet, cutIds, fromMs, untilMs, endedLinks: silences.endedCount };
}

t.test('streams through peers end whole when the links to these fall silent', async (t) => {
  // Guards against streams that break off since a link between two sound hosts was replaced.
  t.setTimeout(TEST_TIMEOUT_MS);
  const whole = Array.from({ length: EVENTS }, (_, at) => `id: ${at + 1}\ndata: ${at + 1}\n\n`);
  for (const hosts of FLEET_SIZES) {
    const play = await playSilences(t, hosts, { route: STREAM, runMs: 4_000, events: EVENTS });
    const { fleet, cutIds, fromMs, untilMs, endedLinks } = play;
    const { served, sent } = fleet.measureServed(cutIds, fromMs - WARMUP_MS / 2, untilMs);
    t.equal(served, sent, `${hosts} hosts, ${endedLinks} links: ${served} of ${sent} streams`);
    const faults = fleet.calls.filter(
      ({ reply }) => reply.head?.status === 200 && !whole.join('').startsWith(reply.body),
    );
    t.equal(faults.length, 0, `${hosts} hosts: no event is missing or there twice`);
    checkRuns(t, fleet, `${hosts} hosts`);
  }
});

t.test('writes through peers are answered when the links to these fall silent', async (t) => {
  // Guards against writes that are told 502 although their server has answered them.
  t.setTimeout(TEST_TIMEOUT_MS);
  for (const hosts of FLEET_SIZES) {
    const play = await playSilences(t, hosts, { route: PLAIN, runMs: 1_000 });
    const { fleet, cutIds, fromMs, untilMs, endedLinks } = play;
    const { served, sent } = fleet.measureServed(cutIds, fromMs, untilMs);
    t.equal(served, sent, `${hosts} hosts, ${endedLinks} links: ${served} of ${sent} writes`);
    checkRuns(t, fleet, `${hosts} hosts`);
  }
});
