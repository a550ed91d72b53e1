import t from 'tap';
import { startStreamFleet, StreamState } from '../../../test/support/stream_fleet.js';
import type { StreamCaller, StreamFleet } from '../../../test/support/stream_fleet.js';

const HISTORY_CASES = { 'whole history': true, 'no history': false };

/** Begins streams at all hosts. */
async function beginStreams(fleet: StreamFleet): Promise<StreamCaller[]> {
  return Promise.all(
    fleet.hosts.flatMap((host) => Array.from({ length: 5 }, () => fleet.beginStream(host))),
  );
}

/** Kills all hosts at one moment and starts them again, beside the same store. */
async function restartAll(fleet: StreamFleet, keepsHistory = true): Promise<void> {
  const killed = [...fleet.hosts];
  for (const host of killed) await fleet.kill(host);
  await fleet.clock.advance(2_200);
  for (const host of killed) {
    if (!keepsHistory) host.feed.discardHistory();
    await fleet.restart(host, host.feed.copy());
  }
  await fleet.clock.advance(100);
}

/** Takes all streams up, each at any host. */
async function takeUpAll(fleet: StreamFleet, callers: readonly StreamCaller[]): Promise<void> {
  for (const caller of callers) await fleet.takeUp(caller, fleet.pickHost());
}

/** Guards against streams of a version whose servers left just before all hosts were killed. */
Object.entries(HISTORY_CASES).forEach(([name, keepsHistory]) => {
  t.test(`a restart of all hosts joins no text of two versions: ${name}`, async (t) => {
    const fleet = await startStreamFleet(t, { keepsHistory: true });
    const callers = await beginStreams(fleet);
    ['s-1', 's-3', 's-5'].forEach((id) => fleet.endServer(id));
    await restartAll(fleet, keepsHistory);
    await takeUpAll(fleet, callers);
    t.equal(callers.filter(({ isMixed }) => isMixed).length, 0, 'mixed streams');
    t.ok(callers.every(({ state }) => state === StreamState.Refused));
  });
});

/** Guards against refusals after a restart of all hosts where no other version ever served. */
t.test('streams go on after a restart of all hosts in the store’s whole history', async (t) => {
  const fleet = await startStreamFleet(t, { keepsHistory: true, pickVersion: () => 'v1' });
  const callers = await beginStreams(fleet);
  await restartAll(fleet);
  await takeUpAll(fleet, callers);
  t.ok(callers.every(({ state }) => state === StreamState.Whole));
});
