/**
 * Links between entry hosts in one process, for tests:
 * `const hub = new FakePeerHub(); const a = new FakePeerNetwork(hub, identityA);`
 *
 * All networks of a hub are linked with each other unless a test cuts a link; with `isDialled`,
 * two networks are linked once one of them has the URL of the other among its addresses.
 * Messages arrive asynchronously (in microtasks, without time passing) and in order.
 *
 * @module
 */
import { PeerNetwork } from '../../src/ports/mod.js';
import type {
  Clock,
  LinkEvent,
  PeerMessage,
  PeerMessageHandler,
  PeerMessageType,
} from '../../src/ports/mod.js';
import type { EntryHostIdentity } from '../../src/domain/membership/types.js';

import { FakeLinks, formatPair, LinkState } from './fake_links.js';

export { buildIdentity } from './identities.js';

/** How long messages are on their way. */
export interface MessageDelay {
  readonly clock: Clock;
  readonly pickMs: () => number;
  /** Time until a link that is dialled opens; default: none. */
  readonly pickLinkMs?: () => number;
}

/** Connects fake networks and controls the links between them. Hosts are named by their ID. */
export class FakePeerHub {
  readonly networks = new Set<FakePeerNetwork>();

  /** Every message that arrived, in order of arrival. */
  readonly delivered: { from: string; to: string; message: PeerMessage }[] = [];

  /** Time for which messages are on their way; undefined: they arrive without time passing. */
  delay: MessageDelay | undefined;

  /** When the last message of each ordered pair arrives, in milliseconds. */
  readonly #lastDueMs = new Map<string, number>();

  readonly #links = new FakeLinks();

  /** Ordered pairs of hosts whose link takes no message. */
  readonly #full = new Set<string>();

  /** Linked networks of each network, in a hub whose links are dialled. */
  readonly #partners = new Map<FakePeerNetwork, Set<FakePeerNetwork>>();

  /** @param isDialled - whether networks are linked only after one has dialled the other */
  constructor(readonly isDialled = false) {}

  /** Delivers a message of one host to another, in order. */
  deliver(from: string, to: string, run: () => void): void {
    const arrive = (): void => {
      if (!this.#links.tryHold({ from, to, run })) run();
    };
    if (!this.delay) {
      queueMicrotask(arrive);
      return;
    }
    const { clock, pickMs } = this.delay;
    const pair = `${from}>${to}`;
    const dueMs = Math.max(clock.nowMs() + pickMs(), this.#lastDueMs.get(pair) ?? 0);
    this.#lastDueMs.set(pair, dueMs);
    clock.setTimer(dueMs - clock.nowMs(), arrive);
  }

  /** Links two networks and notifies both. */
  link(one: FakePeerNetwork, other: FakePeerNetwork): void {
    if (!this.isDialled || this.listPartners(one).has(other)) return;
    this.#getPartners(one).add(other);
    this.#getPartners(other).add(one);
    one.notifyLink({ peer: other.identity, up: true });
    other.notifyLink({ peer: one.identity, up: true });
  }

  /** Removes the link of two networks, unless one still has the other among its addresses. */
  unlink(one: FakePeerNetwork, other: FakePeerNetwork): void {
    const isWanted =
      one.addresses.includes(other.identity.peerUrl) ||
      other.addresses.includes(one.identity.peerUrl);
    if (!this.isDialled || isWanted) return;
    this.#getPartners(one).delete(other);
    this.#getPartners(other).delete(one);
    one.notifyLink({ peer: other.identity, up: false });
    other.notifyLink({ peer: one.identity, up: false });
  }

  /** @returns the networks that may be linked with one; the result may include that one */
  listPartners(one: FakePeerNetwork): ReadonlySet<FakePeerNetwork> {
    return this.isDialled ? this.#getPartners(one) : this.networks;
  }

  #getPartners(one: FakePeerNetwork): Set<FakePeerNetwork> {
    const partners = this.#partners.get(one) ?? new Set();
    this.#partners.set(one, partners);
    return partners;
  }

  /** Cuts the link between two entry hosts; both ends are notified, also of a silence before. */
  cut(a: string, b: string, wasSilent = false): void {
    this.#setLink(a, b, LinkState.Cut, wasSilent);
  }

  /** Silences a link: sends succeed, but no message arrives and neither end is notified. */
  silence(a: string, b: string): void {
    this.#setLink(a, b, LinkState.Silent);
  }

  /** Holds messages back on a link, which neither end notices, until it is restored or cut. */
  hold(a: string, b: string): void {
    this.#setLink(a, b, LinkState.Held);
  }

  /** Has a link, which stays up, take no message in one direction, or take them again. */
  setFull(from: string, to: string, isFull: boolean): void {
    if (isFull) this.#full.add(`${from}>${to}`);
    else this.#full.delete(`${from}>${to}`);
  }

  /** @returns whether a link takes no message in one direction */
  isFull(from: string, to: string): boolean {
    return this.#full.has(`${from}>${to}`);
  }

  /** Restores a link; both ends are notified if they had been notified of the cut. */
  heal(a: string, b: string): void {
    this.#setLink(a, b, LinkState.Up);
  }

  /** Cuts every link between the two sides of a partition. */
  partition(sideA: readonly string[], sideB: readonly string[]): void {
    sideA.forEach((a) => sideB.forEach((b) => this.cut(a, b)));
  }

  /** Restores all links. */
  healAll(): void {
    this.#links.listPairs().forEach(([a, b]) => this.heal(a, b));
  }

  /** @returns whether both ends consider the link as up */
  isLinked(a: string, b: string): boolean {
    return this.#links.get(a, b) !== LinkState.Cut;
  }

  /** @returns whether messages on the link arrive */
  isOpen(a: string, b: string): boolean {
    return this.#links.get(a, b) === LinkState.Up;
  }

  #setLink(a: string, b: string, state: LinkState, wasSilent = false): void {
    const wasLinked = this.isLinked(a, b);
    const released = this.#links.set(a, b, state);
    released.forEach(({ from, to, run }) => this.deliver(from, to, run));
    const isLinked = this.isLinked(a, b);
    if (wasLinked === isLinked) return;
    this.networks.forEach((one) => {
      this.networks.forEach((other) => {
        if (formatPair(one.identity.id, other.identity.id) === formatPair(a, b) && one !== other)
          one.notifyLink({ peer: other.identity, up: isLinked, wasSilent });
      });
    });
  }
}

/** The peer network of one entry host, connected to a {@link FakePeerHub}. */
export class FakePeerNetwork extends PeerNetwork {
  /** Messages that this host sent, whether or not they arrived. */
  readonly sent: PeerMessage[] = [];

  /** Incarnations of peers for which a replacement of the link was requested. */
  readonly replaced: string[] = [];

  /** Incarnations of peers whose link was dropped. */
  readonly dropped: string[] = [];

  /** Peer URLs that were set last. */
  addresses: readonly string[] = [];

  readonly #handlers = new Map<PeerMessageType, (from: never, message: never) => void>();

  readonly #linkHandlers: ((event: LinkEvent) => void)[] = [];

  /**
   * @param hub - hub that connects the network to others
   * @param identity - identity of the entry host
   */
  constructor(
    readonly hub: FakePeerHub,
    readonly identity: EntryHostIdentity,
  ) {
    super();
    hub.networks.forEach((other) => {
      if (hub.isDialled || !hub.isLinked(other.identity.id, identity.id)) return;
      other.notifyLink({ peer: identity, up: true });
      this.notifyLink({ peer: other.identity, up: true });
    });
    hub.networks.add(this);
    // Networks go on dialling the addresses of hosts that have ended.
    hub.networks.forEach((other) => other.dialAgain(this));
  }

  /** Dials a network that has just started, if it has one of the addresses. */
  dialAgain(started: FakePeerNetwork): void {
    const isWanted = this.hub.isDialled && this.addresses.includes(started.identity.peerUrl);
    if (isWanted && started !== this) this.#dial(started);
  }

  override setPeerUrls(peerUrls: readonly string[]): void {
    this.addresses = peerUrls;
    this.hub.networks.forEach((other) => {
      if (other !== this && peerUrls.includes(other.identity.peerUrl)) this.#dial(other);
    });
  }

  #dial(other: FakePeerNetwork): void {
    const { delay } = this.hub;
    if (!delay?.pickLinkMs) this.hub.link(this, other);
    else
      delay.clock.setTimer(delay.pickLinkMs(), () => {
        if (this.addresses.includes(other.identity.peerUrl)) this.hub.link(this, other);
      });
  }

  override send(incarnation: string, message: PeerMessage): boolean {
    const target = this.#findLinked(incarnation);
    if (!target || this.hub.isFull(this.identity.id, target.identity.id)) return false;
    this.sent.push(message);
    // The message is copied so that entry hosts never share an object.
    const copy = structuredClone(message);
    this.hub.deliver(this.identity.id, target.identity.id, () => target.receive(this, copy));
    return true;
  }

  override handle<T extends PeerMessageType>(type: T, handler: PeerMessageHandler<T>): void {
    if (this.#handlers.has(type)) throw new Error(`Cannot handle "${type}" twice`);
    this.#handlers.set(type, handler);
  }

  override onLinkChange(handler: (event: LinkEvent) => void): void {
    this.#linkHandlers.push(handler);
  }

  override listLinkedPeers(): readonly EntryHostIdentity[] {
    return this.#listLinkedNetworks().map(({ identity }) => identity);
  }

  override replaceLink(incarnation: string): void {
    this.replaced.push(incarnation);
  }

  override dropLink(incarnation: string): void {
    this.dropped.push(incarnation);
    const other = this.#findLinked(incarnation);
    if (other) this.hub.unlink(this, other);
  }

  override close(): Promise<void> {
    const linked = this.listLinkedPeers();
    this.hub.networks.delete(this);
    this.hub.networks.forEach((other) => {
      if (linked.some((peer) => peer.incarnation === other.identity.incarnation))
        other.notifyLink({ peer: this.identity, up: false });
    });
    return Promise.resolve();
  }

  /** Notifies this host that a link is up or down; called by the hub. */
  notifyLink(event: LinkEvent): void {
    queueMicrotask(() => this.#linkHandlers.forEach((handler) => handler(event)));
  }

  /** Receives a message; called by the sending network. */
  receive(from: FakePeerNetwork, message: PeerMessage): void {
    const { hub, identity } = this;
    const isConnected = hub.networks.has(this) && hub.networks.has(from);
    if (!isConnected || !hub.isOpen(from.identity.id, identity.id)) return;
    hub.delivered.push({ from: from.identity.id, to: identity.id, message });
    const handler = this.#handlers.get(message.type);
    handler?.(from.identity as never, message as never);
  }

  #findLinked(incarnation: string): FakePeerNetwork | undefined {
    return this.#listLinkedNetworks().find(({ identity }) => identity.incarnation === incarnation);
  }

  #listLinkedNetworks(): FakePeerNetwork[] {
    const { hub, identity } = this;
    if (!hub.networks.has(this)) return [];
    return [...hub.listPartners(this)].filter(
      (other) =>
        other !== this && hub.networks.has(other) && hub.isLinked(other.identity.id, identity.id),
    );
  }
}
