import t from 'tap';
import { FakePeerHub, FakePeerNetwork } from '../../../test/support/fake_peer_network.js';
import { FakeMetrics } from '../../../test/support/fakes.js';
import { createServerRegistry, NO_STATS } from '../../../test/support/server_registries.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { ServerRegistry } from './server_registry.js';
import { WaitingNotices } from './waiting_notices.js';

interface NoticeHost {
  readonly incarnation: string;
  readonly servers: ServerRegistry;
  readonly waitingNotices: WaitingNotices;
}

function startHost(hub: FakePeerHub, clock: VirtualClock, id: string): NoticeHost {
  const incarnation = `${id}/1`;
  const identity = { id, incarnation, url: '', peerUrl: `ws://${id}.test`, availabilityZone: 'a' };
  const servers = createServerRegistry(clock);
  const peers = new FakePeerNetwork(hub, identity);
  return {
    incarnation,
    servers,
    waitingNotices: new WaitingNotices({ clock, metrics: new FakeMetrics(), peers, servers }),
  };
}

function countNotices(hub: FakePeerHub): number {
  return hub.delivered.filter(({ message }) => message.type === PeerMessageType.WaitingNotice)
    .length;
}

t.test('peers learn at once that a fresh call waits', async (t) => {
  // Guards against refusing fresh calls while late ones of the same route are served. A fresh
  // call starts to wait right after its host's report; before the next report, a request of
  // another host ends, and its slot goes to a late call there. Reports alone are too slow.
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const a = startHost(hub, clock, 'a');
  const b = startHost(hub, clock, 'b');
  b.servers.applyPeerStats(a.incarnation, NO_STATS);
  a.waitingNotices.notifyPeers('engines', { size: 1, firstUrgency: 2 });
  await settle();
  t.match(b.servers.peers.findFirstWaiting('engines'), { source: a.incarnation, urgency: 2 });
});

t.test('only calls more urgent than the last notice cause another notice', async (t) => {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const a = startHost(hub, clock, 'a');
  startHost(hub, clock, 'b');
  a.waitingNotices.notifyPeers('engines', { size: 1, firstUrgency: 2 });
  await clock.advance(50);
  a.waitingNotices.notifyPeers('engines', { size: 2, firstUrgency: 2 });
  await settle();
  t.equal(countNotices(hub), 1);
  a.waitingNotices.notifyPeers('engines', { size: 3, firstUrgency: 0 });
  await settle();
  t.equal(countNotices(hub), 2);
});

t.test('the rate of notices is bounded by the number of peers', async (t) => {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const [a] = Array.from({ length: 9 }, (_value, index) => startHost(hub, clock, `host-${index}`));
  for (let urgency = 500; urgency > 0; urgency -= 1) {
    a?.waitingNotices.notifyPeers('engines', { size: 1, firstUrgency: urgency });
    await clock.advance(2);
  }
  // In one second, eight peers each receive at most one notice per 40 ms.
  t.ok(countNotices(hub) <= 8 * 25, String(countNotices(hub)));
});
