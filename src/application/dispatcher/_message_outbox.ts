/**
 * Delivers messages that must reach a dispatcher even if its link is down now.
 *
 * @module
 */
import type { PeerMessage, PeerNetwork } from '../../ports/mod.js';
import type { MembershipView } from '../views/mod.js';

/**
 * Maximum queued messages for one dispatcher. When the oldest ones are dropped
 * beyond it, the dispatcher reclaims the slots concerned after a timeout.
 */
const MAX_MESSAGES_PER_PEER = 4096;

/** Sends messages in order, and queues those that can't be sent until the link is up again. */
export class MessageOutbox {
  readonly #peers: PeerNetwork;

  readonly #membership: MembershipView;

  readonly #queues = new Map<string, PeerMessage[]>();

  /**
   * @param peers - the links to peers
   * @param membership - the known incarnations
   */
  constructor(peers: PeerNetwork, membership: MembershipView) {
    this.#peers = peers;
    this.#membership = membership;
    peers.onLinkChange(({ peer, up }) => up && this.#flush(peer.incarnation));
  }

  /** Number of messages that wait for a link. */
  get size(): number {
    return [...this.#queues.values()].reduce((sum, messages) => sum + messages.length, 0);
  }

  /**
   * @param incarnation - the receiver
   * @param message - the message
   */
  send(incarnation: string, message: PeerMessage): void {
    const queue = this.#queues.get(incarnation);
    if (!queue && this.#peers.send(incarnation, message)) return;
    const messages = queue ?? [];
    if (messages.length >= MAX_MESSAGES_PER_PEER) messages.shift();
    messages.push(message);
    this.#queues.set(incarnation, messages);
  }

  /** Drops the messages for incarnations that the membership no longer knows. */
  pruneUnknownPeers(): void {
    [...this.#queues.keys()]
      .filter((incarnation) => !this.#membership.findIncarnation(incarnation))
      .forEach((incarnation) => this.#queues.delete(incarnation));
  }

  #flush(incarnation: string): void {
    const messages = this.#queues.get(incarnation) ?? [];
    while (messages[0] && this.#peers.send(incarnation, messages[0])) messages.shift();
    if (messages.length === 0) this.#queues.delete(incarnation);
  }
}
