import t from 'tap';
import type { Test } from 'tap';
import { PeerMessageType } from '../../ports/mod.js';
import type { PeerMessage, PeerNetwork } from '../../ports/mod.js';
import {
  buildIdentity,
  FakePeerHub,
  FakePeerNetwork,
} from '../../../test/support/fake_peer_network.js';
import { buildPeerIdentity, startPeer, waitUntil } from './_test_peers.js';

const MESSAGE_COUNT = 300;

/** Starts one network per ID; the networks then link to each other. */
type StartNetworks = (t: Test, ids: readonly string[]) => Promise<readonly PeerNetwork[]>;

async function startWsNetworks(t: Test, ids: readonly string[]): Promise<readonly PeerNetwork[]> {
  const peers = await Promise.all(ids.map((id) => startPeer(buildPeerIdentity(id))));
  t.teardown(() => Promise.all(peers.map(({ network }) => network.close())));
  peers.forEach(({ network }) => network.setPeerUrls(peers.map(({ url }) => url)));
  return peers.map(({ network }) => network);
}

async function startFakeNetworks(
  _t: Test,
  ids: readonly string[],
): Promise<readonly PeerNetwork[]> {
  const hub = new FakePeerHub();
  return ids.map((id) => new FakePeerNetwork(hub, buildIdentity(id)));
}

const IMPLEMENTATIONS: Readonly<Record<string, StartNetworks>> = {
  WsPeerNetwork: startWsNetworks,
  FakePeerNetwork: startFakeNetworks,
};

async function startLinked(
  t: Test,
  startNetworks: StartNetworks,
  ids: readonly string[],
): Promise<PeerNetwork[]> {
  const networks = await startNetworks(t, ids);
  await waitUntil(() => networks.every((one) => one.listLinkedPeers().length === ids.length - 1));
  return [...networks];
}

function buildNumberedMessage(ticket: number): PeerMessage {
  return { type: PeerMessageType.SlotCancel, ticket };
}

/** Collects received messages with the IDs of their senders. */
function collectMessages(network: PeerNetwork): { from: string; message: PeerMessage }[] {
  const received: { from: string; message: PeerMessage }[] = [];
  [PeerMessageType.SlotCancel, PeerMessageType.ForwardChunk].forEach((type) => {
    network.handle(type, (from, message) => received.push({ from: from.id, message }));
  });
  return received;
}

Object.entries(IMPLEMENTATIONS).forEach(([name, startNetworks]) => {
  t.test(`${name} delivers in order per sender and names the sender`, async (t) => {
    const [a, b, c] = (await startLinked(t, startNetworks, ['a', 'b', 'c'])) as [
      PeerNetwork,
      PeerNetwork,
      PeerNetwork,
    ];
    const arrived = collectMessages(a);
    const expected = Array.from({ length: MESSAGE_COUNT }, (_item, index) => index + 1);
    const sent = expected.map((number) =>
      [b, c].every((sender) => sender.send('a-1', buildNumberedMessage(number))),
    );
    t.ok(sent.every(Boolean));
    await waitUntil(() => arrived.length === 2 * MESSAGE_COUNT);
    ['b', 'c'].forEach((id) => {
      const own = arrived.filter(({ from }) => from === id);
      t.same(
        own.map(({ message }) => 'ticket' in message && message.ticket),
        expected,
      );
    });
  });

  t.test(`${name} delivers bytes unchanged`, async (t) => {
    const [a, b] = (await startLinked(t, startNetworks, ['a', 'b'])) as [PeerNetwork, PeerNetwork];
    const arrived = collectMessages(b);
    const bytes = Uint8Array.from({ length: 70_000 }, (_item, index) => index % 256);
    a.send('b-1', { type: PeerMessageType.ForwardChunk, callId: 1, offset: 7, bytes });
    await waitUntil(() => arrived.length === 1);
    const message = arrived[0]?.message;
    t.ok(message?.type === PeerMessageType.ForwardChunk && message.offset === 7);
    t.ok(message && 'bytes' in message && Buffer.from(bytes).equals(message.bytes as Uint8Array));
  });

  t.test(`${name} refuses to send without a link and to itself`, async (t) => {
    const [a] = (await startLinked(t, startNetworks, ['a', 'b'])) as [PeerNetwork];
    t.equal(a.send('b-2', buildNumberedMessage(1)), false);
    t.equal(a.send('a-1', buildNumberedMessage(1)), false);
  });

  t.test(`${name} accepts only one handler per message type`, async (t) => {
    const [a] = (await startLinked(t, startNetworks, ['a', 'b'])) as [PeerNetwork];
    a.handle(PeerMessageType.SlotCancel, () => undefined);
    t.throws(() => a.handle(PeerMessageType.SlotCancel, () => undefined));
  });

  t.test(`${name} reports once that the last link to a peer is down`, async (t) => {
    const [a, b] = (await startLinked(t, startNetworks, ['a', 'b'])) as [PeerNetwork, PeerNetwork];
    const events: string[] = [];
    a.onLinkChange(({ peer, up }) => events.push(`${peer.incarnation} ${up ? 'up' : 'down'}`));
    await b.close();
    await waitUntil(() => events.includes('b-1 down'));
    t.same(
      events.filter((event) => event.endsWith('down')),
      ['b-1 down'],
    );
    t.equal(a.send('b-1', buildNumberedMessage(1)), false);
    t.same(a.listLinkedPeers(), []);
  });
});
