/**
 * Messages that must reach a dispatcher even if its link is down now.
 *
 * @module
 */
import type { PeerMessage, PeerNetwork } from '../../ports/mod.js';
import type { MembershipView } from '../views/mod.js';

/**
 * Most messages that are kept for one dispatcher. What is dropped beyond is
 * covered by the dispatcher's own reclaiming of slots.
 */
const MAX_KEPT = 4096;

/** Sends in order, and keeps what can't be sent until the link is up again. */
export class MessageOutbox {
  readonly #peers: PeerNetwork;

  readonly #membership: MembershipView;

  readonly #kept = new Map<string, PeerMessage[]>();

  /**
   * @param peers - the links
   * @param membership - who is there
   */
  constructor(peers: PeerNetwork, membership: MembershipView) {
    this.#peers = peers;
    this.#membership = membership;
    peers.onLink(({ peer, up }) => up && this.#drain(peer.incarnation));
  }

  /** How many messages wait for a link. */
  get size(): number {
    return [...this.#kept.values()].reduce((sum, messages) => sum + messages.length, 0);
  }

  /**
   * @param incarnation - whom it is for
   * @param message - the message
   */
  send(incarnation: string, message: PeerMessage): void {
    const kept = this.#kept.get(incarnation);
    if (!kept && this.#peers.send(incarnation, message)) return;
    const messages = kept ?? [];
    if (messages.length >= MAX_KEPT) messages.shift();
    messages.push(message);
    this.#kept.set(incarnation, messages);
  }

  /** Forgets what is kept for incarnations that are gone for good. */
  prune(): void {
    [...this.#kept.keys()]
      .filter((incarnation) => !this.#membership.findIncarnation(incarnation))
      .forEach((incarnation) => this.#kept.delete(incarnation));
  }

  #drain(incarnation: string): void {
    const messages = this.#kept.get(incarnation) ?? [];
    while (messages[0] && this.#peers.send(incarnation, messages[0])) messages.shift();
    if (messages.length === 0) this.#kept.delete(incarnation);
  }
}
