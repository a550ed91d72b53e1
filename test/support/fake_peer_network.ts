/**
 * Links between entry hosts within one process, for tests:
 * `const hub = new FakePeerHub(); const a = new FakePeerNetwork(hub, identityA);`
 *
 * Every two networks of one hub are linked until the hub is told otherwise; with
 * `isDialled`, only once one of them has the other among its addresses.
 * Messages arrive asynchronously (in microtasks, no time passes) and in order.
 *
 * @module
 */
import { PeerNetwork } from '../../src/ports/mod.js';
import type {
  LinkEvent,
  PeerMessage,
  PeerMessageHandler,
  PeerMessageType,
} from '../../src/ports/mod.js';
import type { EntryHostIdentity } from '../../src/domain/membership/types.js';

/** How a link between two entry hosts behaves. */
enum LinkState {
  Up = 'up',
  /** Both ends know that it is gone. */
  Cut = 'cut',
  /** Neither end is told; what is sent vanishes. */
  Silent = 'silent',
}

function formatPair(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}

/** The medium between fake networks. Entry hosts are named by their ID. */
export class FakePeerHub {
  readonly networks = new Set<FakePeerNetwork>();

  /** Every message that arrived, in order of arrival. */
  readonly delivered: { from: string; to: string; message: PeerMessage }[] = [];

  readonly #links = new Map<string, LinkState>();

  /** Who is linked with whom in a hub where links are dialled. */
  readonly #partners = new Map<FakePeerNetwork, Set<FakePeerNetwork>>();

  /** @param isDialled - whether only those are linked that have dialled each other */
  constructor(readonly isDialled = false) {}

  /** Links two networks, and tells both. */
  make(one: FakePeerNetwork, other: FakePeerNetwork): void {
    if (!this.isDialled || this.listPartners(one).has(other)) return;
    this.#takePartners(one).add(other);
    this.#takePartners(other).add(one);
    one.notifyLink({ peer: other.identity, up: true });
    other.notifyLink({ peer: one.identity, up: true });
  }

  /** Takes a link away, unless one of both still wants it. */
  unmake(one: FakePeerNetwork, other: FakePeerNetwork): void {
    const isWanted =
      one.addresses.includes(other.identity.peerUrl) ||
      other.addresses.includes(one.identity.peerUrl);
    if (!this.isDialled || isWanted) return;
    this.#takePartners(one).delete(other);
    this.#takePartners(other).delete(one);
    one.notifyLink({ peer: other.identity, up: false });
    other.notifyLink({ peer: one.identity, up: false });
  }

  /** @returns networks that may be linked with one, itself perhaps among them */
  listPartners(one: FakePeerNetwork): ReadonlySet<FakePeerNetwork> {
    return this.isDialled ? this.#takePartners(one) : this.networks;
  }

  #takePartners(one: FakePeerNetwork): Set<FakePeerNetwork> {
    const partners = this.#partners.get(one) ?? new Set();
    this.#partners.set(one, partners);
    return partners;
  }

  /** Cuts the link between two entry hosts; both ends notice. */
  cut(a: string, b: string): void {
    this.#setLink(a, b, LinkState.Cut);
  }

  /** Lets the link fall silent: sends succeed, nothing arrives, nobody is told. */
  silence(a: string, b: string): void {
    this.#setLink(a, b, LinkState.Silent);
  }

  /** Puts the link back; both ends notice if they had noticed the cut. */
  heal(a: string, b: string): void {
    this.#setLink(a, b, LinkState.Up);
  }

  /** Cuts every link between the two sides of a partition. */
  partition(sideA: readonly string[], sideB: readonly string[]): void {
    sideA.forEach((a) => sideB.forEach((b) => this.cut(a, b)));
  }

  /** Puts every link back. */
  healAll(): void {
    [...this.#links.keys()].forEach((pair) => {
      const [a, b] = pair.split('|') as [string, string];
      this.heal(a, b);
    });
  }

  /** @returns whether the two ends believe in their link */
  isLinked(a: string, b: string): boolean {
    return this.#getLink(a, b) !== LinkState.Cut;
  }

  /** @returns whether what is sent arrives */
  isOpen(a: string, b: string): boolean {
    return this.#getLink(a, b) === LinkState.Up;
  }

  #getLink(a: string, b: string): LinkState {
    return this.#links.get(formatPair(a, b)) ?? LinkState.Up;
  }

  #setLink(a: string, b: string, state: LinkState): void {
    const wasLinked = this.isLinked(a, b);
    this.#links.set(formatPair(a, b), state);
    const isLinked = this.isLinked(a, b);
    if (wasLinked === isLinked) return;
    this.networks.forEach((one) => {
      this.networks.forEach((other) => {
        if (formatPair(one.identity.id, other.identity.id) === formatPair(a, b) && one !== other)
          one.notifyLink({ peer: other.identity, up: isLinked });
      });
    });
  }
}

/** One entry host's end of a {@link FakePeerHub}. */
export class FakePeerNetwork extends PeerNetwork {
  /** Messages that this end sent, whether or not they arrived. */
  readonly sent: PeerMessage[] = [];

  /** Incarnations whose link was asked to be replaced. */
  readonly replaced: string[] = [];

  /** Incarnations whose link was given up. */
  readonly dropped: string[] = [];

  /** The last addresses that were set. */
  addresses: readonly string[] = [];

  readonly #handlers = new Map<PeerMessageType, (from: never, message: never) => void>();

  readonly #linkHandlers: ((event: LinkEvent) => void)[] = [];

  /**
   * @param hub - the medium that links it to others
   * @param identity - whose end it is
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
  }

  override setAddresses(peerUrls: readonly string[]): void {
    this.addresses = peerUrls;
    this.hub.networks.forEach((other) => {
      if (other !== this && peerUrls.includes(other.identity.peerUrl)) this.hub.make(this, other);
    });
  }

  override send(incarnation: string, message: PeerMessage): boolean {
    const target = this.#findLinked(incarnation);
    if (!target) return false;
    this.sent.push(message);
    // A copy, so that no two entry hosts ever share an object.
    const copy = structuredClone(message);
    queueMicrotask(() => target.receive(this, copy));
    return true;
  }

  override handle<T extends PeerMessageType>(type: T, handler: PeerMessageHandler<T>): void {
    if (this.#handlers.has(type)) throw new Error(`Cannot handle "${type}" twice`);
    this.#handlers.set(type, handler);
  }

  override onLink(handler: (event: LinkEvent) => void): void {
    this.#linkHandlers.push(handler);
  }

  override listLinked(): readonly EntryHostIdentity[] {
    return this.#listLinkedNetworks().map(({ identity }) => identity);
  }

  override replaceLink(incarnation: string): void {
    this.replaced.push(incarnation);
  }

  override dropLink(incarnation: string): void {
    this.dropped.push(incarnation);
    const other = this.#findLinked(incarnation);
    if (other) this.hub.unmake(this, other);
  }

  override close(): Promise<void> {
    const linked = this.listLinked();
    this.hub.networks.delete(this);
    this.hub.networks.forEach((other) => {
      if (linked.some((peer) => peer.incarnation === other.identity.incarnation))
        other.notifyLink({ peer: this.identity, up: false });
    });
    return Promise.resolve();
  }

  /** Tells this end of a link; used by the hub. */
  notifyLink(event: LinkEvent): void {
    queueMicrotask(() => this.#linkHandlers.forEach((handler) => handler(event)));
  }

  /** Takes one message in; used by the other end. */
  receive(from: FakePeerNetwork, message: PeerMessage): void {
    const { hub, identity } = this;
    const isThere = hub.networks.has(this) && hub.networks.has(from);
    if (!isThere || !hub.isOpen(from.identity.id, identity.id)) return;
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

/**
 * Builds an identity for tests.
 *
 * @param id - the entry host's name
 * @param incarnation - by default derived from the name
 * @returns the identity
 */
export function buildIdentity(id: string, incarnation = `${id}-1`): EntryHostIdentity {
  return {
    id,
    incarnation,
    url: `http://${id}.test`,
    peerUrl: `ws://${id}.test`,
    availabilityZone: 'hall-a',
  };
}
