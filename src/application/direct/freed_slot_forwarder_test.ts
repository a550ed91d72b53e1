import t from 'tap';
import { FakePeerHub, FakePeerNetwork } from '../../../test/support/fake_peer_network.js';
import { FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import { buildServer } from '../../../test/support/direct_host.js';
import {
  NORMAL_READ_CONTEXT,
  createServerRegistry,
  NO_STATS,
} from '../../../test/support/server_registries.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { ServerOutcome } from '../../domain/backend_servers/mod.js';
import type { ClockReading } from '../../domain/freshness/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import { FreedSlotForwarder } from './freed_slot_forwarder.js';
import type { ServerRegistry } from './server_registry.js';

const WORK = { promptTokens: 1, outputTokens: 1 };
/** An entry host that knows one engine with one slot, which an own call has taken. */
class SlotHost {
  readonly servers: ServerRegistry;

  readonly slots: FreedSlotForwarder;

  readonly incarnation: string;

  urgency = Infinity;

  isCalled = false;

  dispatchCount = 0;

  /** Sequence number of the newest report that was heard from any peer. */
  reportSequence = 1;

  /** Send times of own reports. */
  readonly reportSentAt = new Map<number, ClockReading>();

  constructor(
    hub: FakePeerHub,
    readonly clock: VirtualClock,
    id: string,
  ) {
    this.incarnation = `${id}/1`;
    const peers = new FakePeerNetwork(hub, {
      id,
      incarnation: this.incarnation,
      url: `http://${id}.test`,
      peerUrl: `ws://${id}.test`,
      availabilityZone: 'hall-a',
    });
    this.servers = createServerRegistry(clock);
    const value = Buffer.from(JSON.stringify(buildServer('s-1', { slots: 1 })));
    this.servers.applySnapshot([{ key: 'servers/s-1', value, revision: 1 }], NORMAL_READ_CONTEXT);
    this.servers.listCandidates('engines');
    this.slots = new FreedSlotForwarder({
      clock,
      random: new SeededRandom(),
      metrics: new FakeMetrics(),
      peers,
      servers: this.servers,
      reportTimes: {
        findHeardSequence: () => this.reportSequence,
        findSentAt: (sequence) => this.reportSentAt.get(sequence),
      },
      getFirstUrgency: () => this.urgency,
      isCalled: () => this.isCalled,
      dispatchWaiting: () => {
        this.dispatchCount += 1;
      },
    });
  }

  get freeSlots(): number {
    return this.servers.loads.find('s-1')?.freeSlots ?? 0;
  }

  /** Takes the slot for an own call and gives it back. */
  useSlot(): void {
    const load = this.servers.loads.find('s-1');
    load?.recordStart(WORK);
    load?.recordEnd(ServerOutcome.Answered, this.clock.nowMs());
    this.slots.forward('s-1');
  }

  /** Receives a peer's report of waiting calls. */
  receiveWaitingReport(peer: SlotHost, urgency: number, inFlight = 0): void {
    this.servers.applyPeerStats(peer.incarnation, {
      ...NO_STATS,
      inFlight: { 's-1': inFlight },
      waitingCalls: { engines: 1 },
      firstWaiting: { engines: urgency },
    });
  }
}

function startHosts(): { readonly hub: FakePeerHub; readonly hosts: SlotHost[] } {
  const hub = new FakePeerHub();
  const clock = new VirtualClock();
  return { hub, hosts: ['a', 'b', 'c'].map((id) => new SlotHost(hub, clock, id)) };
}

function countForwarded(hub: FakePeerHub): number {
  return hub.delivered.filter(({ message }) => message.type === PeerMessageType.FreedSlot).length;
}

t.test('a freed slot is forwarded at once to the host with the most urgent call', async (t) => {
  // Guards against refusing urgent calls under overload while less urgent ones are served. A
  // few calls wait at each of several hosts, and a request ends at a host where only a less
  // urgent call waits, or none. Without forwarding, that host fills the slot itself, and the
  // others learn of it too late.
  const { hosts } = startHosts();
  const [a, b] = hosts as [SlotHost, SlotHost];
  a.urgency = 3;
  a.receiveWaitingReport(b, 0);
  b.receiveWaitingReport(a, 3, 1);
  t.equal(b.freeSlots, 0);
  a.useSlot();
  t.equal(a.freeSlots, 0, 'the slot counts as taken by the other host');
  await settle();
  t.equal(b.freeSlots, 1);
  t.equal(b.dispatchCount, 1);
});

t.test('a host keeps a slot for an own call that is as urgent', async (t) => {
  const { hub, hosts } = startHosts();
  const [a, b] = hosts as [SlotHost, SlotHost];
  a.urgency = 0;
  a.receiveWaitingReport(b, 0);
  a.useSlot();
  await settle();
  t.equal(countForwarded(hub), 0);
  t.equal(a.freeSlots, 1);
});

t.test('a waiting call gets one forwarded slot until its host reports again', async (t) => {
  const { hub, hosts } = startHosts();
  const [a, b] = hosts as [SlotHost, SlotHost];
  a.receiveWaitingReport(b, 0);
  a.useSlot();
  a.servers.loads.find('s-1')?.setPeersInFlight(0);
  a.useSlot();
  await settle();
  t.equal(countForwarded(hub), 1);
});

t.test('a slot is forwarded a bounded number of times', async (t) => {
  // Each host assumes that another host has a more urgent call.
  const { hub, hosts } = startHosts();
  hosts.forEach((host) => {
    hosts.filter((other) => other !== host).forEach((other) => host.receiveWaitingReport(other, 0));
  });
  (hosts[0] as SlotHost).useSlot();
  await settle();
  t.ok(countForwarded(hub) <= 3, String(countForwarded(hub)));
});

const LIMIT = { version: 1, requestsPerSecond: 2, ageMs: 0 };

interface PassedTurn {
  readonly clock: VirtualClock;
  readonly hub: FakePeerHub;
  readonly to: SlotHost;
}

/** Starts a host that may send to a limited server, and one where a call waits for it. */
async function passTurn(reportAgeMs: number): Promise<PassedTurn> {
  const clock = new VirtualClock();
  const hub = new FakePeerHub();
  const from = new SlotHost(hub, clock, 'a');
  const to = new SlotHost(hub, clock, 'b');
  [from, to].forEach(({ servers }) =>
    servers.notices.rateLimits.applyReported('s-1', LIMIT, 'c/1'),
  );
  to.reportSentAt.set(1, {
    steadyMs: clock.nowMs() + 1_000 - reportAgeMs,
    wallMs: clock.wallMs() + 1_000 - reportAgeMs,
  });
  await clock.advance(1_000);
  from.servers.peers.set(to.incarnation, {
    ...NO_STATS,
    waitingCalls: { engines: 1 },
    firstWaiting: { engines: 0 },
  });
  await clock.advance(50);
  return { clock, hub, to };
}

function hasTurn({ clock, to }: PassedTurn): boolean {
  const load = to.servers.loads.find('s-1');
  return load?.pace.rateLimit.hasPassedTurn(clock.nowMs()) === true;
}

t.test('a host that needs no turn passes it on, once in each interval', async (t) => {
  const passed = await passTurn(100);
  t.equal(hasTurn(passed), true);
  t.equal(countForwarded(passed.hub), 1);
});

t.test('a turn that waited on its way for long gives no right', async (t) => {
  // Guards against turns that a link or a paused process delivers all at once, seconds late.
  t.equal(hasTurn(await passTurn(1_600)), false);
});
