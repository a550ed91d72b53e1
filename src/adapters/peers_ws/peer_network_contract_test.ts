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

const MESSAGES = 300;

/** Makes networks that are linked to each other, one an ID. */
type Setting = (t: Test, ids: readonly string[]) => Promise<readonly PeerNetwork[]>;

async function startSockets(t: Test, ids: readonly string[]): Promise<readonly PeerNetwork[]> {
  const peers = await Promise.all(ids.map((id) => startPeer(buildPeerIdentity(id))));
  t.teardown(() => Promise.all(peers.map(({ network }) => network.close())));
  peers.forEach(({ network }) => network.setAddresses(peers.map(({ url }) => url)));
  return peers.map(({ network }) => network);
}

async function startFakes(_t: Test, ids: readonly string[]): Promise<readonly PeerNetwork[]> {
  const hub = new FakePeerHub();
  return ids.map((id) => new FakePeerNetwork(hub, buildIdentity(id)));
}

const SETTINGS: Readonly<Record<string, Setting>> = {
  WsPeerNetwork: startSockets,
  FakePeerNetwork: startFakes,
};

async function startAll(t: Test, setting: Setting, ids: readonly string[]): Promise<PeerNetwork[]> {
  const networks = await setting(t, ids);
  await waitUntil(() => networks.every((one) => one.listLinked().length === ids.length - 1));
  return [...networks];
}

function buildNumbered(ticket: number): PeerMessage {
  return { type: PeerMessageType.SlotCancel, ticket };
}

/** Collects the types of messages that arrive, each with its sender. */
function collect(network: PeerNetwork): { from: string; message: PeerMessage }[] {
  const arrived: { from: string; message: PeerMessage }[] = [];
  [PeerMessageType.SlotCancel, PeerMessageType.ForwardChunk].forEach((type) => {
    network.handle(type, (from, message) => arrived.push({ from: from.id, message }));
  });
  return arrived;
}

Object.entries(SETTINGS).forEach(([name, setting]) => {
  t.test(`${name} keeps each sender's order and names the sender`, async (t) => {
    const [a, b, c] = (await startAll(t, setting, ['a', 'b', 'c'])) as [
      PeerNetwork,
      PeerNetwork,
      PeerNetwork,
    ];
    const arrived = collect(a);
    const expected = Array.from({ length: MESSAGES }, (_item, index) => index + 1);
    const sent = expected.map((number) =>
      [b, c].every((sender) => sender.send('a-1', buildNumbered(number))),
    );
    t.ok(sent.every(Boolean));
    await waitUntil(() => arrived.length === 2 * MESSAGES);
    ['b', 'c'].forEach((id) => {
      const own = arrived.filter(({ from }) => from === id);
      t.same(
        own.map(({ message }) => 'ticket' in message && message.ticket),
        expected,
      );
    });
  });

  t.test(`${name} carries bytes as they are`, async (t) => {
    const [a, b] = (await startAll(t, setting, ['a', 'b'])) as [PeerNetwork, PeerNetwork];
    const arrived = collect(b);
    const bytes = Uint8Array.from({ length: 70_000 }, (_item, index) => index % 256);
    a.send('b-1', { type: PeerMessageType.ForwardChunk, callId: 1, offset: 7, bytes });
    await waitUntil(() => arrived.length === 1);
    const message = arrived[0]?.message;
    t.ok(message?.type === PeerMessageType.ForwardChunk && message.offset === 7);
    t.ok(message && 'bytes' in message && Buffer.from(bytes).equals(message.bytes as Uint8Array));
  });

  t.test(`${name} refuses to send where no link leads, and to itself`, async (t) => {
    const [a] = (await startAll(t, setting, ['a', 'b'])) as [PeerNetwork];
    t.equal(a.send('b-2', buildNumbered(1)), false);
    t.equal(a.send('a-1', buildNumbered(1)), false);
  });

  t.test(`${name} takes one handler a type`, async (t) => {
    const [a] = (await startAll(t, setting, ['a', 'b'])) as [PeerNetwork];
    a.handle(PeerMessageType.SlotCancel, () => undefined);
    t.throws(() => a.handle(PeerMessageType.SlotCancel, () => undefined));
  });

  t.test(`${name} tells once that the last link to a peer went`, async (t) => {
    const [a, b] = (await startAll(t, setting, ['a', 'b'])) as [PeerNetwork, PeerNetwork];
    const events: string[] = [];
    a.onLink(({ peer, up }) => events.push(`${peer.incarnation} ${up ? 'up' : 'down'}`));
    await b.close();
    await waitUntil(() => events.includes('b-1 down'));
    t.same(
      events.filter((event) => event.endsWith('down')),
      ['b-1 down'],
    );
    t.equal(a.send('b-1', buildNumbered(1)), false);
    t.same(a.listLinked(), []);
  });
});
