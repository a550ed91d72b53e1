import t from 'tap';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { startStreamFleet, StreamState } from '../../../test/support/stream_fleet.js';
import type { StreamCaller, StreamFleet } from '../../../test/support/stream_fleet.js';
import { ErrorKind, RunOutcome } from '../../domain/errors/mod.js';
import { PeerMessageType } from '../../ports/mod.js';

/** Time within which a caller must hear that its stream is unknown, in milliseconds. */
const QUICK_MS = 200;

/** Age of a host's view from which on it believes no versions, in milliseconds. */
const MAX_VERSION_AGE_MS = 3_000;

/** Fraction of streams that must go on while two servers of their version have room. */
const MIN_GOES_ON = 0.97;

const STREAM_MESSAGES: readonly PeerMessageType[] = [
  PeerMessageType.StreamOrigins,
  PeerMessageType.StreamQuery,
];

function countSent(fleet: StreamFleet): number {
  return fleet.hosts.reduce((sum, { backend }) => sum + backend.sent.length, 0);
}

/** Guards against streams that go on at a guess, and against callers that are kept waiting. */
t.test('a stream that nobody knows is refused quickly as not run', async (t) => {
  const fleet = await startStreamFleet(t);
  const sentBefore = countSent(fleet);
  const caller = fleet.createCaller();
  caller.send(fleet.hosts[1] as DirectHost, { resumedRequestId: 'invented', lastEventId: '2' });
  await fleet.clock.advance(QUICK_MS);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown, run: RunOutcome.NotRun });
  t.equal(countSent(fleet), sentBefore);
});

/** Guards against callers that never hear of a fault in the search for their stream. */
t.test('a call whose stream can not be searched for is refused at once', async (t) => {
  const fleet = await startStreamFleet(t);
  const host = fleet.hosts[1] as DirectHost;
  host.streams.resolver.resolve = () => Promise.reject(new Error('test'));
  const caller = fleet.createCaller();
  caller.send(host, { resumedRequestId: 'any', lastEventId: '2' });
  await fleet.clock.advance(QUICK_MS);
  t.match(caller.last.reply.error, { kind: ErrorKind.Internal });
  t.equal(host.gateway.callCount, 0);
});

/** Guards against a version that an event's ID alone is taken to stand for. */
t.test('a stream that its caller does not name is refused beside two versions', async (t) => {
  const fleet = await startStreamFleet(t);
  const caller = fleet.createCaller();
  caller.send(fleet.hosts[0] as DirectHost, { lastEventId: '2' });
  await fleet.clock.advance(QUICK_MS);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
});

/** Guards against an ID of another account that decides about this account's stream. */
t.test('the ID of another account names no stream', async (t) => {
  const fleet = await startStreamFleet(t, { accounts: ['firm-b'] });
  const caller = await fleet.beginStream(fleet.hosts[0] as DirectHost);
  const other = fleet.createCaller('key-firm-b');
  other.send(fleet.hosts[0] as DirectHost, {
    resumedRequestId: caller.beganAs,
    lastEventId: '2',
  });
  await fleet.clock.advance(QUICK_MS);
  t.match(other.last.reply.error, { kind: ErrorKind.StreamUnknown });
});

/** Guards against a stream of the other version that goes on under an ID used twice. */
t.test('an ID that was used for streams of two versions names none', async (t) => {
  const fleet = await startStreamFleet(t);
  const callers: StreamCaller[] = [];
  while (new Set(callers.flatMap(({ versions }) => versions[0] ?? [])).size < 2) {
    const caller = fleet.createCaller();
    caller.send(fleet.pickHost(), { requestId: 'same' });
    await fleet.clock.advance(100);
    t.notOk(caller.isMixed);
    callers.push(caller);
  }
  for (const host of fleet.hosts) {
    for (const caller of callers) {
      await fleet.takeUp(caller, host);
      t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
    }
  }
});

/** Guards against a stream of a nameless server that goes on under an ID used before. */
t.test('an ID that was used for a stream of a server without a version names none', async (t) => {
  const pickVersion = (number: number): string | undefined => (number === 1 ? 'v1' : undefined);
  const fleet = await startStreamFleet(t, { servers: 2, pickVersion });
  const callers: StreamCaller[] = [];
  while (new Set(callers.flatMap(({ versions }) => versions[0] ?? [])).size < 2) {
    const caller = fleet.createCaller();
    caller.send(fleet.pickHost(), { requestId: 'same' });
    await fleet.clock.advance(100);
    t.equal(caller.state, StreamState.Open);
    callers.push(caller);
  }
  for (const host of fleet.hosts) {
    const caller = callers.find(({ versions }) => versions[0] === 'unnamed') as StreamCaller;
    await fleet.takeUp(caller, host);
    t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
  }
});

/** Guards against records that are lost when each host that holds them is restarted. */
t.test('a stream is taken up after all hosts were restarted in turn', async (t) => {
  const fleet = await startStreamFleet(t, { hosts: 6, eventGapMs: 1 });
  const callers: StreamCaller[] = [];
  for (const host of fleet.hosts) callers.push(await fleet.beginStream(host, 3));
  for (const host of [...fleet.hosts]) {
    await fleet.kill(host);
    await fleet.clock.advance(200);
    await fleet.restart(host);
    await fleet.clock.advance(1_500);
  }
  for (const caller of callers) {
    await fleet.takeUp(caller, fleet.pickHost());
    t.notOk(caller.isMixed);
    t.equal(caller.state, StreamState.Whole);
  }
});

/** Guards against a version that is lost with a host that freezes instead of ending. */
t.test('a stream is taken up after its host froze', async (t) => {
  const fleet = await startStreamFleet(t, { hosts: 5 });
  const host = fleet.pickHost();
  const caller = await fleet.beginStream(host, 1);
  fleet.freeze(host);
  await fleet.takeUp(caller, fleet.pickHost());
  t.notOk(caller.isMixed);
  t.equal(caller.state, StreamState.Whole);
});

/** Guards against a host that guesses, or keeps its caller, since it can ask nobody. */
t.test('a host that is cut from its peers refuses, and knows again once it is not', async (t) => {
  const fleet = await startStreamFleet(t, { hosts: 4 });
  const [host, cutOff] = fleet.hosts as [DirectHost, DirectHost];
  const ids = fleet.hosts.map(({ peers }) => peers.identity.id);
  fleet.hub.partition([cutOff.peers.identity.id], ids.slice(0, 1).concat(ids.slice(2)));
  const caller = await fleet.beginStream(host);
  await fleet.takeUp(caller, cutOff);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
  fleet.hub.healAll();
  await fleet.clock.advance(1_000);
  await fleet.takeUp(caller, cutOff);
  t.equal(caller.state, StreamState.Whole);
  t.notOk(caller.isMixed);
});

/** Guards against links that hosts of the former version drop for messages they don't know. */
t.test('hosts of a version without records are neither told nor asked', async (t) => {
  const fleet = await startStreamFleet(t, { hosts: 3 });
  fleet.hosts.forEach(({ peers }) =>
    Object.assign(peers.identity, { keepsStreamOrigins: undefined }),
  );
  const caller = await fleet.beginStream(fleet.hosts[0] as DirectHost);
  await fleet.takeUp(caller, fleet.hosts[1] as DirectHost);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
  const sent = fleet.hub.delivered.filter(({ message }) => STREAM_MESSAGES.includes(message.type));
  t.equal(sent.length, 0);
});

/** Guards against servers of another version that take a call which waits for its own. */
t.test('a stream waits for a server of its version alone, and nobody waits for it', async (t) => {
  const fleet = await startStreamFleet(t, { hosts: 1, servers: 2, slots: 1, eventGapMs: 10 });
  const host = fleet.hosts[0] as DirectHost;
  const caller = await fleet.beginStream(host, 8);
  const busyServer = fleet.findServer(caller);
  caller.send(host);
  t.equal(fleet.findServer(caller), undefined);
  const late = fleet.createCaller();
  late.send(host);
  t.not(fleet.findServer(late), busyServer);
  t.ok(fleet.findServer(late));
  await fleet.clock.advance(600);
  [caller, late].forEach((one) => {
    t.equal(one.state, StreamState.Whole);
    t.notOk(one.isMixed);
  });
});

/** Guards against a server that came back as another version while its host could not hear of it. */
t.test('a host whose view is old believes no version that entries name', async (t) => {
  const route = { mayBeAnonymous: true };
  const fleet = await startStreamFleet(t, { hosts: 2, servers: 1, pickVersion: () => 'v1', route });
  const [cutOff, other] = fleet.hosts as [DirectHost, DirectHost];
  cutOff.feed.isDown = true;
  await fleet.clock.advance(200);
  fleet.endServer('s-1');
  await fleet.clock.advance(MAX_VERSION_AGE_MS);
  fleet.startServer('s-1', 'v2');
  fleet.startServer('s-2', 'v1');
  const caller = await fleet.beginStream(cutOff, 2);
  t.equal(caller.isMixed, false);
  t.equal(caller.versions[0], 'v2');
  await fleet.takeUp(caller, other);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamUnknown });
  t.notOk(caller.isMixed);
});

/** Guards against a caller that waits for a version that no server runs any more. */
t.test('a stream of a version that is gone is refused at once, saying so', async (t) => {
  const fleet = await startStreamFleet(t, { servers: 3, pickVersion: (number) => `v${number}` });
  const caller = await fleet.beginStream(fleet.pickHost());
  fleet.endServer(fleet.findServer(caller) as string);
  await fleet.clock.advance(20);
  t.equal(caller.state, StreamState.Broken);
  caller.send(fleet.pickHost());
  await fleet.clock.advance(QUICK_MS);
  t.match(caller.last.reply.error, { kind: ErrorKind.StreamVersionGone, run: RunOutcome.NotRun });
});

[7, 66, 195].forEach((hosts) => {
  /** Guards against callers who are refused although servers of their version have room. */
  t.test(`streams of a killed host of ${hosts} go on as often as new ones begin`, async (t) => {
    const fleet = await startStreamFleet(t, {
      hosts,
      servers: 12,
      pickVersion: (n) => `v${n % 3}`,
    });
    await fleet.clock.advance(3_000);
    const host = fleet.pickHost();
    const callers = Array.from({ length: 40 }, () => fleet.createCaller());
    for (const caller of callers) caller.send(host);
    await fleet.clock.advance(45);
    await fleet.kill(host);
    const resumed = callers.filter(({ state }) => state === StreamState.Broken);
    resumed.forEach((caller) => caller.send(fleet.pickHost()));
    await fleet.clock.advance(1_500);
    const whole = resumed.filter(({ state }) => state === StreamState.Whole).length;
    t.ok(whole >= MIN_GOES_ON * resumed.length, `${whole} of ${resumed.length} go on`);
    t.ok(resumed.length >= 12);
    t.notOk(callers.some(({ isMixed }) => isMixed));
  });
});
