import t from 'tap';
import { buildIdentity } from '../../../test/support/fake_peer_network.js';
import { mayProxy, ServerPaths, UrgencyGate } from './mod.js';

t.test('a host is cut off once peers reach two servers that it does not', async (t) => {
  const paths = new ServerPaths();
  paths.recordCut('s-1', 0);
  t.notOk(paths.isCutOff);
  t.ok(paths.isCut('s-1') && !paths.isCut('s-2'));
  paths.recordCut('s-2', 10);
  t.notOk(paths.isCutOff, 'others were not probed yet');
  t.ok(paths.mayHaveLostAll(10));
  paths.confirmLoss();
  t.ok(paths.isCutOff && paths.isCut('s-3'));
});

t.test('data from any server ends the state, but not the cut of others', async (t) => {
  const paths = new ServerPaths();
  paths.recordCut('s-1', 0);
  paths.recordCut('s-2', 0);
  paths.confirmLoss();
  t.ok(paths.isCutOff);
  paths.recordReached('s-3', 10);
  t.notOk(paths.isCutOff);
  t.ok(paths.isCut('s-1') && !paths.isCut('s-3'));
});

t.test('data on an open connection does not end the cut of its server', async (t) => {
  // Guards against links on which open connections live on while new ones are refused.
  const paths = new ServerPaths();
  paths.recordCut('s-1', 0);
  paths.recordReached('s-1', 10);
  t.ok(paths.isCut('s-1'));
  paths.recordConnected('s-1', 20);
  t.notOk(paths.isCut('s-1'));
});

t.test('a path is checked less often the more often it is cut again', async (t) => {
  const paths = new ServerPaths();
  let nowMs = 0;
  const intervals = [500, 1_000, 2_000, 2_000].map((expectedMs) => {
    paths.recordCut('s-1', nowMs);
    const early = paths.takeCheck('s-1', nowMs + expectedMs - 1);
    const due = paths.takeCheck('s-1', nowMs + expectedMs);
    const again = paths.takeCheck('s-1', nowMs + expectedMs);
    nowMs += expectedMs + 100;
    paths.recordConnected('s-1', nowMs);
    nowMs += 100;
    return [early, due, again];
  });
  t.strictSame(intervals, Array(4).fill([false, true, false]));
});

t.test('a host that reaches nothing is cut off only while a peer reaches a server', async (t) => {
  // Guards against calls that wait for peers where no host reaches any server.
  const paths = new ServerPaths();
  ['s-1', 's-2'].forEach((id) => paths.recordLost(id, 0));
  t.ok(paths.mayHaveLostAll(0) && !paths.isCutOff && !paths.isNoneReachable);
  paths.confirmLoss();
  paths.recordNoReachingPeer(['s-1', 's-2', 's-3']);
  t.ok(paths.isNoneReachable && paths.isUnreachable('s-3', 0) && !paths.isCutOff);
  paths.recordReachingPeer();
  t.ok(paths.isCutOff && !paths.isNoneReachable);
  paths.recordConnected('s-3', 10);
  t.notOk(paths.isCutOff || paths.isLossConfirmed || paths.mayHaveLostAll(500));
});

t.test('a server that starts while no host reaches any may be reached', async (t) => {
  // Guards against calls that are refused although new servers have taken the place of dead ones.
  const paths = new ServerPaths();
  ['s-1', 's-2'].forEach((id) => paths.recordLost(id, 0));
  paths.confirmLoss();
  t.notOk(paths.isNewSinceLoss('s-3'), 'nothing is known of other hosts yet');
  paths.recordNoReachingPeer(['s-1', 's-2']);
  t.ok(paths.isNewSinceLoss('s-3') && !paths.isUnreachable('s-3', 100));
  t.ok(!paths.isNewSinceLoss('s-1') && paths.isUnreachable('s-1', 100));
  paths.recordNoReachingPeer(['s-1', 's-2', 's-3']);
  t.ok(paths.isUnreachable('s-3', 200), 'it was there when no host reached any once more');
  paths.recordConnected('s-3', 300);
  t.notOk(paths.isNewSinceLoss('s-4') || paths.isUnreachable('s-4', 300));
});

t.test('a host that hears a server now and then has not lost all links', async (t) => {
  // Guards against calls that wait where several servers have crashed and others answer.
  const paths = new ServerPaths();
  paths.recordReached('s-3', 1_000);
  ['s-1', 's-2'].forEach((id) => paths.recordLost(id, 1_010));
  t.notOk(paths.mayHaveLostAll(1_050));
  t.ok(paths.mayHaveLostAll(1_100));
});

t.test('a server that nobody reaches is left alone for a second', async (t) => {
  const paths = new ServerPaths();
  paths.recordUnreachable('s-1', 0);
  t.ok(paths.isUnreachable('s-1', 999));
  t.notOk(paths.isUnreachable('s-1', 1_000));
  paths.recordUnreachable('s-1', 2_000);
  paths.recordReached('s-1', 2_100);
  t.notOk(paths.isUnreachable('s-1', 2_200));
});

t.test('UrgencyGate starts the most urgent first and refuses the least urgent', async (t) => {
  // Guards against calls of low rank that take the room of urgent ones at a peer.
  const events: string[] = [];
  const gate = new UrgencyGate({ maxRunning: 1, maxWaiting: 2 });
  const submit = (name: string, urgency: number): void =>
    gate.submit({
      urgency,
      start: () => events.push(`${name} starts`),
      refuse: () => events.push(`${name} is refused`),
    });
  submit('a', 5);
  submit('b', 5);
  submit('c', 3);
  submit('d', 0);
  gate.release();
  gate.release();
  t.same(events, ['a starts', 'b is refused', 'd starts', 'c starts']);
  t.equal(gate.runningCount, 1);
  t.equal(gate.waitingCount, 0);
});

t.test('a peer of a version without requests through peers is asked for none', async (t) => {
  // Guards against links that such a peer drops, again and again, for a message it does not know.
  const state = {
    identity: buildIdentity('h-1'),
    bornAtMs: 0,
    version: 1,
    cores: 1,
    isServing: true,
    isInTouch: true,
    isLeaving: false,
  };
  t.notOk(mayProxy(state));
  t.ok(mayProxy({ ...state, isCutOff: false }));
  t.notOk(mayProxy({ ...state, isCutOff: true }));
});
