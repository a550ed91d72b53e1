/**
 * Tests requests through peers whose views of servers and routes differ for two seconds.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { checkRuns, pickFraction } from '../../../test/support/cut_cases.js';
import { CutFleet, CutMode } from '../../../test/support/cut_fleet.js';
import { buildDocument, buildServer } from '../../../test/support/direct_documents.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { SeededRandom } from '../../../test/support/fakes.js';

const TEST_TIMEOUT_MS = 120_000;

const DEADLINE_MS = 10_000;

const WARMUP_MS = 3_000;

/** Longest time for which hosts hold different views, in milliseconds. */
const VIEW_LAG_MS = 2_000;

const LOAD_MS = 4_000;

const SLOTS = 60;

const ROUTE = { timeoutMs: DEADLINE_MS, targetMs: 200 };

/** Servers that change in the views of the hosts, each host at its own moment. */
const CHANGED_SERVERS = ['s-1', 's-2', 's-3', 's-4'];

type ViewChange = (host: DirectHost) => void;

function putServers(host: DirectHost, isLeaving: boolean): void {
  CHANGED_SERVERS.forEach((id) => {
    const entry = buildServer(id, { slots: SLOTS, address: `${id}:80`, isLeaving });
    host.feed.put(`servers/${id}`, entry);
  });
}

const CHANGES: Readonly<Record<string, ViewChange>> = {
  'servers that leave': (host) => putServers(host, true),
  'servers that are gone': (host) =>
    CHANGED_SERVERS.forEach((id) => host.feed.remove(`servers/${id}`)),
  'a new version of the routes': (host) =>
    host.feed.put('configuration', buildDocument(2, { route: { ...ROUTE, timeoutMs: 9_000 } })),
};

async function playViews(
  t: Test,
  hosts: number,
  change: ViewChange,
  seed: number,
): Promise<string> {
  const fleet = new CutFleet(t, { hosts, servers: 12, slots: SLOTS, route: ROUTE, runMs: 400 });
  const load = { callsPerSecond: 30, durationMs: WARMUP_MS, request: { deadlineMs: DEADLINE_MS } };
  const random = new SeededRandom(seed);
  await fleet.start();
  await fleet.run(load);
  const cutIds = pickFraction(0.3)(fleet);
  fleet.cut(cutIds, CutMode.Reset);
  await fleet.run(load);
  const fromMs = fleet.clock.nowMs();
  fleet.hosts.forEach((host) =>
    fleet.clock.setTimer(random.nextFraction() * VIEW_LAG_MS, () => change(host)),
  );
  await fleet.run({ ...load, durationMs: LOAD_MS });
  await fleet.clock.advance(DEADLINE_MS);
  checkRuns(t, fleet, `${hosts} hosts`);
  const { served, sent } = fleet.measureServed(cutIds, fromMs);
  return `${served} of ${sent}`;
}

Object.entries(CHANGES).forEach(([name, change]) => {
  t.test(`writes through peers are served beside ${name}`, async (t) => {
    // Guards against calls that end since a peer may not send what the host that asks still would.
    t.setTimeout(TEST_TIMEOUT_MS);
    for (const hosts of [6, 13]) {
      for (const seed of [1, 2]) {
        const result = await playViews(t, hosts, change, seed);
        const [served, sent] = result.split(' of ');
        t.equal(served, sent, `${hosts} hosts, seed ${seed}: ${result}`);
      }
    }
  });
});
