/**
 * An entry host and a peer that sends requests for it, over fakes.
 *
 * @module
 */
import { OwnReach } from '../../src/application/paths/own_reach.js';
import { ProxyClient } from '../../src/application/paths/proxy_client.js';
import { ProxyServer } from '../../src/application/paths/proxy_server.js';
import { ServerPaths } from '../../src/domain/paths/mod.js';
import type { BackendExchange, BackendFailure, BackendRequest } from '../../src/ports/mod.js';
import { FakeBackend, FakeProbe } from './direct_ends.js';
import type { FakeExchange } from './direct_ends.js';
import { FakePeerHub, FakePeerNetwork } from './fake_peer_network.js';
import { FakeLog, FakeMetrics, SeededRandom } from './fakes.js';
import { buildState } from './host_states.js';
import { buildIdentity } from './identities.js';
import { VirtualClock } from './virtual_clock.js';

const EVENT_INTERVAL_MS = 100;

const EVENTS = 12;

/** What the host that sent a request has heard of it. */
export interface Answer {
  readonly exchange: BackendExchange;
  readonly parts: string[];
  end: 'complete' | BackendFailure | undefined;
}

/** An entry host, and a peer that sends its requests. */
export class ProxyPair {
  readonly hub = new FakePeerHub();

  readonly clock = new VirtualClock();

  readonly backend = new FakeBackend();

  readonly answers: Answer[] = [];

  readonly client: ProxyClient;

  server: ProxyServer;

  readonly #asker: FakePeerNetwork;

  #peer: FakePeerNetwork;

  constructor(asker = buildIdentity('asker'), peer = buildIdentity('peer')) {
    const network = new FakePeerNetwork(this.hub, asker);
    this.#asker = network;
    this.client = new ProxyClient({
      peers: network,
      clock: this.clock,
      random: new SeededRandom(),
      log: new FakeLog(),
      metrics: new FakeMetrics(),
      availabilityZone: 'hall-a',
      listHeard: () => network.listLinkedPeers().map((identity) => buildState(identity)),
    });
    this.#peer = new FakePeerNetwork(this.hub, peer);
    this.server = this.#startServer();
  }

  /** Ends the process of the peer, and starts another one on its host. */
  async restartPeer(): Promise<void> {
    await this.#peer.close();
    this.#peer = new FakePeerNetwork(this.hub, buildIdentity('peer', 'peer-2'));
    this.server = this.#startServer();
  }

  #startServer(): ProxyServer {
    const { clock } = this;
    const probe = new FakeProbe();
    const paths = new ServerPaths();
    return new ProxyServer({
      peers: this.#peer,
      clock,
      log: new FakeLog(),
      metrics: new FakeMetrics(),
      probe,
      ownReach: new OwnReach({ clock, probe, paths, listServers: () => [] }),
      paths,
      findIncarnation: () => undefined,
      checkServer: () => undefined,
      backend: this.backend,
      mayReceive: () => true,
      recordNotice: () => undefined,
    });
  }

  /** Sends a request; without a link nothing is sent. */
  send(): Answer | undefined {
    const parts: string[] = [];
    const answer: Omit<Answer, 'exchange'> = { parts, end: undefined };
    const exchange = this.client.send(buildRequest(`r-${this.answers.length + 1}`), {
      onNotice: () => undefined,
      onHead: () => parts.push('head'),
      onBody: (bytes) => parts.push(bytes.toString()),
      onComplete: () => Object.assign(answer, { end: 'complete' }),
      onFailure: (failure) => Object.assign(answer, { end: failure }),
    });
    if (!exchange) return undefined;
    this.answers.push(Object.assign(answer, { exchange }));
    return this.answers.at(-1);
  }

  findSent(answer: Answer): FakeExchange[] {
    const requestId = `r-${this.answers.indexOf(answer) + 1}`;
    return this.backend.sent.filter(({ request }) => request.request.requestId === requestId);
  }

  silence(): void {
    this.hub.hold('asker', 'peer');
  }

  /** Both ends close the link for its silence; what was on its way is lost. */
  lose(): void {
    this.hub.cut('asker', 'peer', true);
  }

  /** The peer closes the silent link some time before the other end does. */
  async loseAtPeerFirst(laterMs: number): Promise<void> {
    this.hub.hold('asker', 'peer');
    this.#peer.notifyLink({ peer: this.#asker.identity, up: false, wasSilent: true });
    await this.clock.advance(laterMs);
    this.lose();
  }

  restore(): void {
    this.hub.heal('asker', 'peer');
  }
}

function buildRequest(requestId: string): BackendRequest {
  return {
    request: {
      requestId,
      method: 'POST',
      target: '/a/1',
      path: '/a/1',
      hostName: '',
      headers: [],
      body: Buffer.alloc(0),
      key: undefined,
      deadlineMs: undefined,
      lastEventId: undefined,
      work: { promptTokens: 0, outputTokens: 0 },
      isSized: false,
    },
    address: '10.0.0.1:80',
    serverId: 's-1',
    incarnationId: 's-1',
    accountId: undefined,
    deadlineMs: 10_000,
    lastEventId: undefined,
    urgency: 0,
  };
}

/** Answers each request in parts. */
export function answerInParts({ backend, clock }: ProxyPair): void {
  const onSend = (exchange: FakeExchange): void => {
    const step = (id: number): void => {
      if (exchange.isCancelled) return;
      if (id === 1) exchange.sendHead();
      exchange.listener.onBody(Buffer.from(`${id}`));
      if (id === EVENTS) exchange.listener.onComplete();
      else clock.setTimer(EVENT_INTERVAL_MS, () => step(id + 1));
    };
    clock.setTimer(EVENT_INTERVAL_MS, () => step(1));
  };
  Object.assign(backend, { onSend });
}

/** Parts of a whole answer. */
export const WHOLE = ['head', ...Array.from({ length: EVENTS }, (_, at) => `${at + 1}`)];
