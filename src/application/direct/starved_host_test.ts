import t from 'tap';
import type { Test } from 'tap';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { startDirectHost } from '../../../test/support/direct_host.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { GateChange } from '../../domain/direct/mod.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { LatenessMonitor } from './_lateness_monitor.js';

/** Time after the start of a process in which its lateness does not count. */
const START_MS = 4_000;

/** Lets turns of the event loop pass that take some milliseconds each. */
async function passTurns(clock: VirtualClock, count: number, turnMs: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    clock.jump(turnMs);
    await clock.advance(0);
  }
}

/** Starts a host that never waits for events. */
function startHost(t: Test): Promise<DirectHost> {
  const options = { measureIdleMs: () => 0 };
  return startDirectHost(t, { route: { timeoutMs: 60_000 } }, ['s-1', 's-2'], options);
}

/** Starts a host that has been running for a while, with a call in progress. */
async function startBusyHost(t: Test): Promise<DirectHost> {
  const host = await startHost(t);
  await host.clock.advance(START_MS);
  host.call({ deadlineMs: 60_000 });
  return host;
}

function countCalls(
  t: Test,
  host: DirectHost,
  count: number,
): { rejected: number; served: number } {
  const replies = Array.from({ length: count }, () => host.call());
  const rejected = replies.filter(({ error }) => error?.kind === ErrorKind.EntryHostOverloaded);
  rejected.forEach(({ error }) => {
    t.equal(error?.run, RunOutcome.NotRun);
    t.ok(Number(error?.retryAfterMs) >= 100 && Number(error?.retryAfterMs) <= 500);
  });
  return { rejected: rejected.length, served: count - rejected.length };
}

t.test('a starved host rejects most new calls, and admits all once it is on time', async (t) => {
  // Guards against a host that ends calls late, because it starts more than it can follow.
  const host = await startBusyHost(t);
  await passTurns(host.clock, 7, 250);
  const { rejected, served } = countCalls(t, host, 100);
  t.ok(rejected > 75 && served > 0, `${rejected} rejected, ${served} served`);
  await host.clock.advance(3_000);
  t.equal(countCalls(t, host, 20).rejected, 0);
  const [begun] = host.log.list('early_rejections_begun');
  t.match(begun, { timerLatenessMs: 200 });
  t.match(host.log.list('early_rejections_ended'), [{ rejected }]);
  t.equal(host.log.list('early_rejections_begun').length, 1, 'one line each way');
});

t.test('a host rejects no call for a pause, a long turn or slow start', async (t) => {
  // Guards against calls that are rejected by a host that could serve them.
  const host = await startBusyHost(t);
  await passTurns(host.clock, 1, 400);
  t.equal(countCalls(t, host, 20).rejected, 0, 'a long turn');
  await host.clock.advance(100);
  await passTurns(host.clock, 1, 30_000);
  await passTurns(host.clock, 2, 300);
  t.equal(countCalls(t, host, 20).rejected, 0, 'a pause');
  const started = await startHost(t);
  started.call();
  await passTurns(started.clock, 6, 300);
  t.equal(countCalls(t, started, 20).rejected, 0, 'a start');
});

t.test('calls whose time is over end before a late host takes the next one', async (t) => {
  // Guards against calls that are held while a backlog of events is worked off.
  const host = await startBusyHost(t);
  const late = host.call({ deadlineMs: 300 });
  host.clock.jump(400);
  t.equal(late.error, undefined, 'its timer has not run');
  host.call();
  t.equal(late.error?.kind, ErrorKind.AnswerTimeout);
  t.equal(host.getSent(1).isCancelled, true, 'its run is cancelled');
});

t.test('the time in which a late host did not read a call counts', async (t) => {
  // Guards against a call that is held beyond its time by as much as it was read late.
  const host = await startBusyHost(t);
  host.clock.jump(300);
  host.call({ deadlineMs: 2_000 });
  t.equal(host.getSent(1).request.deadlineMs, 1_750, 'less than its own lateness');
  await host.clock.advance(0);
  host.clock.jump(100);
  host.call({ deadlineMs: 2_000 });
  t.equal(host.getSent(2).request.deadlineMs, 2_000, 'a normal delay does not count');
});

t.test('LatenessMonitor leaves out the time in which its process waited', async (t) => {
  // Guards against an idle host that rejects calls, as its machine wakes it late.
  const clock = new VirtualClock();
  const changes: GateChange[] = [];
  let idleMs = 0;
  const monitor = new LatenessMonitor({
    clock,
    listCalls: () => [],
    measureIdleMs: () => idleMs,
    onGateChange: (change) => changes.push(change),
  });
  clock.jump(START_MS);
  const runTurns = async (turnMs: number, waitMs: number): Promise<void> => {
    for (let turn = 0; turn < 4; turn += 1) {
      monitor.recordCall();
      idleMs += waitMs;
      await passTurns(clock, 1, turnMs);
    }
  };
  await runTurns(400, 400);
  t.same(changes, [], 'late, and idle');
  t.equal(monitor.latenessMs, 0);
  await runTurns(400, 0);
  t.same(changes, [GateChange.Closed], 'late, and busy');
});

t.test('a host without calls runs no timer for its lateness', async (t) => {
  // Guards against processor time that an idle host takes.
  const clock = new VirtualClock();
  let timers = 0;
  const { setTimer } = VirtualClock.prototype;
  clock.setTimer = (delayMs, callback) => {
    timers += 1;
    return setTimer.call(clock, delayMs, callback);
  };
  const monitor = new LatenessMonitor({
    clock,
    listCalls: () => [],
    measureIdleMs: () => 0,
    onGateChange: () => undefined,
  });
  await clock.advance(1_000);
  t.equal(timers, 0);
  monitor.recordCall();
  await clock.advance(5_000);
  const used = timers;
  await clock.advance(5_000);
  t.equal(timers, used);
});
