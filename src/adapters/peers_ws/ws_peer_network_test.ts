import t from 'tap';
import type { Test } from 'tap';
import { PeerMessageType } from '../../ports/mod.js';
import type { ForwardChunkMessage, LinkEvent, PeerMessage } from '../../ports/mod.js';
import { GatedClock, ProcessGate } from '../../../test/support/process_gate.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import type { WsPeerNetworkOptions } from './mod.js';
import {
  areLinked,
  buildNumberedMessage,
  buildPeerIdentity,
  RawPeer,
  startPeer,
  TestProxy,
  waitUntil,
} from './_test_peers.js';
import type { TestPeer } from './_test_peers.js';

const MESSAGE_COUNT = 2_000;
const MAX_MESSAGE_BYTES = 8_388_608;
const MAX_REDIAL_MS = 5_000;
const LINK_TIMEOUT_MS = 3_000;

async function startLinked(
  t: Test,
  options: Partial<WsPeerNetworkOptions> = {},
): Promise<[TestPeer, TestPeer]> {
  const a = await startPeer(buildPeerIdentity('a'), options);
  const b = await startPeer(buildPeerIdentity('b'));
  t.teardown(() => Promise.all([a.network.close(), b.network.close()]));
  a.network.setPeerUrls([b.url]);
  await waitUntil(() => areLinked(a, b));
  return [a, b];
}

function recordLinkEvents(peer: TestPeer): string[] {
  const events: string[] = [];
  peer.network.onLinkChange(({ peer: { incarnation }, up }: LinkEvent) => {
    events.push(`${incarnation} ${up ? 'up' : 'down'}`);
  });
  return events;
}

function listSequences(peer: TestPeer): number[] {
  return peer.received.map(({ sequence }) => sequence);
}

t.test('send() delivers in order in both directions over a single link', async (t) => {
  const [a, b] = await startLinked(t);
  const events = recordLinkEvents(b);
  b.network.setPeerUrls([a.url]);
  const expected = Array.from({ length: MESSAGE_COUNT }, (_item, index) => index + 1);
  const sent = expected.map(
    (number) =>
      a.network.send('b-1', buildNumberedMessage(number)) &&
      b.network.send('a-1', buildNumberedMessage(number)),
  );
  t.ok(sent.every(Boolean));
  await waitUntil(() => a.received.length === MESSAGE_COUNT && b.received.length === MESSAGE_COUNT);
  t.same(listSequences(a), expected);
  t.same(listSequences(b), expected);
  t.same(events, []);
});

t.test('send() returns false without a link', async (t) => {
  const [a] = await startLinked(t);
  t.equal(a.network.send('c-1', buildNumberedMessage(1)), false);
  t.equal(a.network.send('a-1', buildNumberedMessage(1)), false);
});

t.test('send() refuses messages only to the peer whose buffer is full', async (t) => {
  // Guards against memory that grows until the entry host dies: a peer stops reading while
  // messages are still sent to it, and the send buffer has no limit.
  const maxBufferedBytes = 262_144;
  const a = await startPeer(buildPeerIdentity('a'), { maxBufferedBytes });
  const b = await startPeer(buildPeerIdentity('b'));
  t.teardown(() => Promise.all([a.network.close(), b.network.close()]));
  b.network.setPeerUrls([a.url]);
  const stalled = new RawPeer(a.url);
  await stalled.authenticate(buildPeerIdentity('c'));
  await waitUntil(() => a.network.listLinkedPeers().length === 2);
  stalled.webSocket.pause();
  const chunk: ForwardChunkMessage = {
    type: PeerMessageType.ForwardChunk,
    callId: 1,
    offset: 0,
    bytes: new Uint8Array(1_048_576),
  };
  let sent = 0;
  while (sent < 500 && a.network.send('c-1', chunk)) sent += 1;
  t.ok(sent > 0 && sent < 500, 'the send is refused eventually');
  t.ok(a.network.send('b-1', buildNumberedMessage(1)));
  await waitUntil(() => b.received.length === 1);
  stalled.webSocket.terminate();
});

// Guards against links that end again and again since each message is too long for the other end.
t.test('send() refuses a message that is too long and keeps the link', async (t) => {
  const [a, b] = await startLinked(t);
  const events = recordLinkEvents(a);
  const bytes = new Uint8Array(MAX_MESSAGE_BYTES);
  const tooLong: ForwardChunkMessage = {
    type: PeerMessageType.ForwardChunk,
    callId: 1,
    offset: 0,
    bytes,
  };
  t.equal(a.network.send('b-1', tooLong), false);
  t.match(a.log.list('peer_message_too_long'), [{ type: PeerMessageType.ForwardChunk }]);
  t.ok(a.network.send('b-1', { ...tooLong, bytes: bytes.subarray(1_000) }));
  a.network.send('b-1', buildNumberedMessage(1));
  await waitUntil(() => b.received.length === 1 || events.length > 0);
  t.same(events, []);
});

t.test('send() refuses a malformed message and keeps the link', async (t) => {
  // Guards against links of a deployment that keep going down and up: a fault puts NaN into a
  // message, the receiver closes the link, and the new link gets the same message because the
  // sender does not validate it.
  const [a, b] = await startLinked(t);
  t.equal(a.network.send('b-1', buildNumberedMessage(Number.NaN)), false);
  t.ok(a.log.lines.some(({ event }) => event === 'peer_message_malformed'));
  t.ok(a.network.send('b-1', buildNumberedMessage(1)));
  await waitUntil(() => b.received.length === 1);
});

t.test('handle() keeps the link when a handler throws', async (t) => {
  const [a, b] = await startLinked(t);
  b.network.handle(PeerMessageType.SlotCancel, () => {
    throw new Error('Cannot cancel');
  });
  a.network.send('b-1', { type: PeerMessageType.SlotCancel, ticket: 1 });
  a.network.send('b-1', buildNumberedMessage(1));
  await waitUntil(() => b.received.length === 1);
  t.ok(b.log.lines.some(({ event }) => event === 'peer_message_handler_failed'));
  t.throws(() => b.network.handle(PeerMessageType.SlotCancel, () => undefined));
});

t.test('setAddresses() links to a peer that starts later or restarts', async (t) => {
  // Guards against a restarted entry host that stays unreachable for its former peers. It returns
  // at its address as a new incarnation after failed attempts to dial it; its peers no longer dial
  // the address, or the link of the old incarnation still counts for it.
  const [a, b] = await startLinked(t);
  const events = recordLinkEvents(a);
  await b.network.close();
  await waitUntil(() => events.length === 1);
  t.equal(a.network.send('b-1', buildNumberedMessage(1)), false);
  await a.clock.advance(MAX_REDIAL_MS);
  const restarted = await startPeer(buildPeerIdentity('b', 'b-2'), { listenPort: b.port });
  t.teardown(() => restarted.network.close());
  while (events.length === 1) await a.clock.advance(MAX_REDIAL_MS);
  t.same(events, ['b-1 down', 'b-2 up']);
  t.ok(a.network.send('b-2', buildNumberedMessage(2)));
  await waitUntil(() => restarted.received.length === 1);
});

t.test('WsPeerNetwork replaces a silent link within its timeout', async (t) => {
  // Guards against a peer that seems dead for hours although new connections to it work: a device
  // between the ends forgets the connection without closing it, and only a closed socket counts
  // as a lost link.
  const a = await startPeer(buildPeerIdentity('a'));
  const b = await startPeer(buildPeerIdentity('b'));
  const relay = new TestProxy(b.port);
  t.teardown(async () => {
    await relay.close();
    await Promise.all([a.network.close(), b.network.close()]);
  });
  a.network.setPeerUrls([await relay.start()]);
  await waitUntil(() => areLinked(a, b));
  const events = recordLinkEvents(a);
  relay.silence();
  t.ok(a.network.send('b-1', buildNumberedMessage(1)), 'the link is not ended yet');
  await a.clock.advance(LINK_TIMEOUT_MS + 1_000);
  t.equal(events[0], 'b-1 down');
  await a.clock.advance(1_000);
  await waitUntil(() => events.length === 2);
  t.ok(a.network.send('b-1', buildNumberedMessage(2)));
  await waitUntil(() => b.received.length === 1);
  t.same(listSequences(b), [2]);
});

t.test('replaceLink() establishes a new link without backoff', async (t) => {
  const [a, b] = await startLinked(t);
  const events = recordLinkEvents(a);
  a.network.replaceLink('b-1');
  await waitUntil(() => events.length === 2);
  t.same(events, ['b-1 down', 'b-1 up']);
  t.ok(a.network.send('b-1', buildNumberedMessage(1)));
  await waitUntil(() => b.received.length === 1);
});

t.test('WsPeerNetwork keeps quiet links up with pings', async (t) => {
  const [a, b] = await startLinked(t);
  const events = recordLinkEvents(a);
  for (let second = 0; second < 10; second += 1) {
    await a.clock.advance(1_000);
    await b.clock.advance(1_000);
  }
  t.same(events, []);
});

t.test('WsPeerNetwork does not treat links as silent after a pause of its process', async (t) => {
  // Guards against all links of a process being replaced at once after it was paused for a minute:
  // on resume its timers run before its sockets are read, so its own pause looks like silence of
  // its peers.
  const base = new VirtualClock();
  const gate = new ProcessGate();
  const [a] = await startLinked(t, { clock: new GatedClock(base, gate) });
  const events = recordLinkEvents(a);
  gate.freeze();
  await base.advance(60_000);
  gate.thaw();
  await base.advance(0);
  t.same(events, []);
});

t.test('WsPeerNetwork refuses a message that was overtaken on another link', async (t) => {
  // Guards against a slot that is released a second time after it was granted again: the sender
  // switches to its second link while messages are in flight on the first, and two links keep no
  // order between them.
  const a = await startPeer(buildPeerIdentity('a'));
  t.teardown(() => a.network.close());
  const [first, second] = [new RawPeer(a.url), new RawPeer(a.url)];
  const events = recordLinkEvents(a);
  await first.authenticate(buildPeerIdentity('c'));
  await second.authenticate(buildPeerIdentity('c'));
  second.sendMessage(2, buildNumberedMessage(2));
  await waitUntil(() => a.received.length === 1);
  first.sendMessage(1, buildNumberedMessage(1));
  first.sendMessage(3, buildNumberedMessage(3));
  await waitUntil(() => a.received.length === 2);
  t.same(listSequences(a), [2, 3]);
  first.webSocket.terminate();
  await waitUntil(() => first.isClosed);
  t.same(events, ['c-1 up'], 'the second link is still up');
  second.webSocket.terminate();
  await waitUntil(() => events.length === 2);
});

t.test('WsPeerNetwork stops dialling its own address after the first attempt', async (t) => {
  const a = await startPeer({ ...buildPeerIdentity('a'), peerUrl: 'ws://a.test' });
  t.teardown(() => a.network.close());
  a.network.setPeerUrls([a.url]);
  const countOwn = (): number =>
    a.log.lines.filter(({ fields }) => fields.end === 'own_incarnation' && fields.peerUrl === a.url)
      .length;
  await waitUntil(() => countOwn() > 0);
  await a.clock.advance(60_000);
  t.equal(countOwn(), 1);
  t.same(a.network.listLinkedPeers(), []);
});

t.test('close() delivers all messages sent before', async (t) => {
  const [a, b] = await startLinked(t);
  for (let number = 1; number <= MESSAGE_COUNT; number += 1) {
    a.network.send('b-1', buildNumberedMessage(number) satisfies PeerMessage);
  }
  await a.network.close();
  await waitUntil(() => b.network.listLinkedPeers().length === 0);
  t.equal(b.received.length, MESSAGE_COUNT);
});
