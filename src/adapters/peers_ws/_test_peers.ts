/**
 * Test peers: peer networks on loopback, a raw client that can violate the protocol, and a TCP
 * proxy that can stop forwarding.
 *
 * @module
 */
import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { WebSocket } from 'ws';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { HeartbeatReplyMessage, PeerMessage } from '../../ports/mod.js';
import { FakeLog, FakeMetrics, SeededRandom } from '../../../test/support/fakes.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { decodeFrame, encodeFrame, FrameKind } from './_frames.js';
import type { Frame } from './_frames.js';
import { Handshake, LinkRole } from './_handshake.js';
import { WsPeerNetwork } from './mod.js';
import type { WsPeerNetworkOptions } from './mod.js';

/** Cluster key of all authentic test peers. */
export const CLUSTER_KEY = Buffer.alloc(32, 7);

/** A started peer network with its fakes and address. */
export interface TestPeer {
  readonly network: WsPeerNetwork;
  readonly clock: VirtualClock;
  readonly log: FakeLog;
  readonly metrics: FakeMetrics;
  readonly port: number;
  readonly url: string;
  /** Received heartbeat replies in order of arrival: incarnation of the sender and number. */
  readonly received: { from: string; sequence: number }[];
}

/** Waits until a condition is met or the timeout of the test runner ends the test. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Builds a message that carries only a number. */
export function buildNumberedMessage(sequence: number): HeartbeatReplyMessage {
  return { type: PeerMessageType.HeartbeatReply, sequence };
}

/** Builds an identity whose `peerUrl` gets the listening port at the start. */
export function buildPeerIdentity(id: string, incarnation = `${id}-1`): EntryHostIdentity {
  const url = `http://${id}.test`;
  return { id, incarnation, url, peerUrl: 'ws://127.0.0.1:0', availabilityZone: 'hall-a' };
}

/** Starts a peer network on loopback. */
export async function startPeer(
  identity: EntryHostIdentity,
  options: Partial<WsPeerNetworkOptions> = {},
): Promise<TestPeer> {
  const clock = new VirtualClock();
  const log = new FakeLog();
  const metrics = new FakeMetrics();
  const seed = [...identity.incarnation].reduce((sum, unit) => sum * 31 + unit.charCodeAt(0), 1);
  const network = new WsPeerNetwork({
    self: identity,
    listenHost: '127.0.0.1',
    listenPort: 0,
    clusterKey: CLUSTER_KEY,
    random: new SeededRandom(seed),
    ...{ clock, log, metrics },
    ...options,
  });
  const received: { from: string; sequence: number }[] = [];
  network.handle(PeerMessageType.HeartbeatReply, (from, { sequence }) => {
    received.push({ from: from.incarnation, sequence });
  });
  const { port } = await network.start();
  return { network, clock, log, metrics, port, url: `ws://127.0.0.1:${port}`, received };
}

/** Whether both peers report a link to each other. */
export function areLinked(one: TestPeer, other: TestPeer): boolean {
  const hasLinkTo = (from: TestPeer, to: TestPeer): boolean =>
    from.network
      .listLinkedPeers()
      .some(({ incarnation }) => incarnation === to.network.identity.incarnation);
  return hasLinkTo(one, other) && hasLinkTo(other, one);
}

/** Lists the logged reasons of refused links in order. */
export function listRefusalReasons(peer: TestPeer): readonly string[] {
  return peer.log.lines
    .filter(({ fields }) => fields.end === 'refused')
    .map(({ fields }) => String(fields.reason));
}

/** A WebSocket client that can send any frame at any time. */
export class RawPeer {
  readonly frames: Buffer[] = [];

  readonly webSocket: WebSocket;

  isClosed = false;

  constructor(url: string) {
    this.webSocket = new WebSocket(url, { perMessageDeflate: false });
    this.webSocket.on('message', (data) => this.frames.push(data as Buffer));
    this.webSocket.on('error', () => undefined);
    this.webSocket.on('close', () => {
      this.isClosed = true;
    });
  }

  /** Waits for the challenge of the listener and completes the handshake. */
  async authenticate(self: EntryHostIdentity, clusterKey: Uint8Array = CLUSTER_KEY): Promise<void> {
    const nonce = Buffer.alloc(32, 9);
    const handshake = new Handshake({ role: LinkRole.Dialer, self, clusterKey, nonce });
    await waitUntil(() => this.frames.length > 0);
    const challenge = decodeFrame(this.frames[0] as Buffer);
    if (challenge.kind !== FrameKind.Challenge)
      throw new Error('Cannot authenticate: the first frame is not a challenge');
    this.send(handshake.buildChallenge());
    this.send(handshake.acceptChallenge(challenge));
  }

  send(frame: Frame): void {
    this.webSocket.send(encodeFrame(frame));
  }

  sendMessage(sequence: number, message: unknown): void {
    this.send({ kind: FrameKind.Message, sequence, message: message as PeerMessage });
  }
}

/** A TCP proxy that can stop forwarding on its connections without closing them. */
export class TestProxy {
  /** Chunks received from the dialling side. */
  readonly chunksFromDialer: Buffer[] = [];

  readonly #sockets = new Set<Socket>();

  readonly #server = createServer((socket) => this.#handleSocket(socket));

  #silencedSockets = new WeakSet<Socket>();

  constructor(readonly targetPort: number) {}

  /** @returns resolves to the WebSocket URL of the proxy */
  start(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', () => {
        resolve(`ws://127.0.0.1:${(this.#server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops forwarding on the present connections; new ones are forwarded. */
  silence(): void {
    this.#sockets.forEach((socket) => this.#silencedSockets.add(socket));
  }

  close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #handleSocket(dialerSocket: Socket): void {
    const targetSocket = connect(this.targetPort, '127.0.0.1');
    dialerSocket.on('data', (data) => this.chunksFromDialer.push(data));
    this.#forward(dialerSocket, targetSocket);
    this.#forward(targetSocket, dialerSocket);
  }

  #forward(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on('data', (data) => {
      if (!this.#silencedSockets.has(from)) to.write(data);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      if (!this.#silencedSockets.has(from)) to.destroy();
      this.#sockets.delete(from);
    });
  }
}
