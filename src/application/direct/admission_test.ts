/**
 * Tests which calls wait for a slot, and what those are told that don't.
 *
 * @module
 */
import t from 'tap';
import { buildFullServers, QueueFixture } from '../../../test/support/queue_fixture.js';
import type { Candidate } from '../../domain/backend_servers/mod.js';
import type { PeerDemand } from './service_queue_options.js';

const HOLD_MS = 200;

/** Slots of ten servers with five slots each, at the hold above. */
const SLOTS_PER_SECOND = 250;

function buildPeers(
  waiting: Readonly<Record<number, number>>,
  started: Readonly<Record<number, number>>,
): PeerDemand {
  const toMap = (figures: Readonly<Record<number, number>>): Map<number, number> =>
    new Map(Object.entries(figures).map(([urgency, figure]) => [Number(urgency), figure]));
  return {
    hasReports: () => true,
    countWaiting: () => toMap(waiting),
    listStarted: () => toMap(started),
  };
}

/** Ten full servers with one request of this host each. */
function buildSharedServers(): Candidate[] {
  const servers = buildFullServers(10);
  servers.forEach(({ load }) => {
    load.setPeersInFlight(load.slots - 1);
    load.recordStart({ promptTokens: 100, outputTokens: 10 });
  });
  return servers;
}

/** Has own requests end at the rate that the average hold says. */
async function runSaturated(fixture: QueueFixture, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
    fixture.queue.handleSlotFreed('s-2', HOLD_MS);
    await fixture.clock.advance(20);
  }
}

t.test('a call with seconds left waits beyond its target and is then late', async (t) => {
  // Guards against calls with ten seconds that are rejected after a third of one.
  const servers = buildSharedServers();
  const fixture = new QueueFixture(servers, { peers: buildPeers({}, {}) });
  const call = fixture.submit();
  await runSaturated(fixture, 700);
  t.equal(call.shedWaitMs, undefined);
  t.ok(call.isLate);
  const fresh = fixture.submit();
  servers[0]?.load.setPeersInFlight(3);
  fixture.queue.dispatchWaiting();
  t.equal(fresh.grantedTo, 's-1', 'late calls go behind those on time');
  servers[0]?.load.setPeersInFlight(2);
  fixture.queue.dispatchWaiting();
  t.equal(call.grantedTo, 's-1');
});

t.test('a call that more urgent ones leave no slot is told at once, once', async (t) => {
  // Guards against callers that are held for their whole time and rejected then.
  const more = SLOTS_PER_SECOND + 20;
  const fixture = new QueueFixture(buildSharedServers(), {
    peers: buildPeers({ 0: 50 }, { 0: more }),
  });
  const call = fixture.submit();
  t.ok((call.shedWaitMs ?? 0) > 0);
  t.equal(call.outlook?.takenPerSecond, more);
  t.equal(fixture.queue.size, 0);
  const first = fixture.submit({ rank: 0 });
  t.equal(first.shedWaitMs, undefined, 'equally urgent calls only go first');
});

t.test('waiting calls are told when the servers that they waited for are lost', async (t) => {
  // Guards against calls that wait to their end for slots that are gone.
  let servers: readonly Candidate[] = buildSharedServers();
  const peers = buildPeers({ 2: 400 }, { 3: SLOTS_PER_SECOND });
  const fixture = new QueueFixture(servers, { peers, listCandidates: () => servers });
  const calls = Array.from({ length: 5 }, () =>
    fixture.submit({ deadlineAtMs: fixture.endMs(6_000) }),
  );
  await runSaturated(fixture, 300);
  t.equal(fixture.queue.size, calls.length);
  servers = servers.slice(0, 1);
  await runSaturated(fixture, 300);
  t.equal(fixture.queue.size, 0);
  t.ok(calls.every(({ outlook }) => outlook !== undefined && outlook.slotsPerSecond < 50));
});

t.test('calls wait for a server to appear, but not to their end', async (t) => {
  let servers: readonly Candidate[] = buildSharedServers();
  const fixture = new QueueFixture(servers, { listCandidates: () => servers });
  const call = fixture.submit();
  servers = [];
  await fixture.clock.advance(1_000);
  t.equal(call.shedWaitMs, undefined);
  await fixture.clock.advance(600);
  t.not(call.shedWaitMs, undefined);
});

t.test('calls at peers that report no urgencies count as equally urgent', async (t) => {
  // Guards against hosts of the former version whose waiting calls nobody counts.
  const known = new QueueFixture(buildSharedServers(), { countWaitingAtPeers: () => 0 });
  const deadlineAtMs = known.endMs(2_500);
  t.equal(known.submit({ deadlineAtMs }).shedWaitMs, undefined);
  const unknown = new QueueFixture(buildSharedServers(), { countWaitingAtPeers: () => 2_000 });
  t.not(unknown.submit({ deadlineAtMs }).shedWaitMs, undefined);
});

t.test('a host that is cut off goes on with the share of the slots that it had', async (t) => {
  // Guards against a host that takes the whole fleet's slots for its own once it hears nobody.
  let hasReports = true;
  const peers = { ...buildPeers({}, { 3: 200 }), hasReports: () => hasReports };
  const servers = buildSharedServers();
  const rates: number[] = [];
  const fixture = new QueueFixture(servers, { peers, onReview: (rate) => rates.push(rate) });
  servers[0]?.load.setPeersInFlight(0);
  for (let index = 0; index < 5; index += 1) fixture.submit();
  fixture.submit();
  await runSaturated(fixture, 300);
  hasReports = false;
  peers.listStarted = () => new Map();
  await runSaturated(fixture, 300);
  t.ok((rates[0] ?? 0) >= 200, String(rates));
  t.ok((rates.at(-1) ?? Infinity) < 50, String(rates));
});

t.test('a call whose wait has a limit of its own keeps it', async (t) => {
  // Guards against fail-overs that wait longer than their callers accept a pause.
  const fixture = new QueueFixture(buildSharedServers());
  const call = fixture.submit({ isWaitFixed: true });
  await runSaturated(fixture, 300);
  t.equal(call.shedWaitMs, undefined);
  await runSaturated(fixture, 100);
  t.not(call.shedWaitMs, undefined);
});

t.test('a call with little time is not held for slots whose holders are stuck', async (t) => {
  // Guards against short calls that are held in vain while no request ends.
  const servers = buildSharedServers();
  const fixture = new QueueFixture(servers);
  const calls = Array.from({ length: 10 }, () =>
    fixture.submit({ deadlineAtMs: fixture.endMs(2_500) }),
  );
  await fixture.clock.advance(1_300);
  const told = calls.filter(({ shedWaitMs }) => shedWaitMs !== undefined);
  t.ok(told.length >= calls.length / 2, `${told.length} of ${calls.length}`);
});
