/**
 * Stores the authenticated links to each incarnation.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { PeerLink } from './_peer_link.js';

/** One incarnation of an entry host and the links to it. */
interface Peer {
  readonly identity: EntryHostIdentity;
  /** Links, oldest first; messages are sent on the oldest. */
  readonly links: PeerLink[];
  /** Highest sequence number accepted from the peer. */
  lastSequence: number;
}

/** Maps incarnations to their authenticated links. */
export class LinkTable {
  readonly #peers = new Map<string, Peer>();

  /** @param identity - the peer. @param link - a new link. @returns whether it is the only one */
  add(identity: EntryHostIdentity, link: PeerLink): boolean {
    const peer = this.#peers.get(identity.incarnation);
    peer?.links.push(link);
    if (peer) return false;
    this.#peers.set(identity.incarnation, { identity, links: [link], lastSequence: 0 });
    return true;
  }

  /** @param incarnation - the peer. @param link - an ended link. @returns whether none is left */
  remove(incarnation: string, link: PeerLink): boolean {
    const peer = this.#peers.get(incarnation);
    const index = peer?.links.indexOf(link) ?? -1;
    if (!peer || index < 0) return false;
    peer.links.splice(index, 1);
    if (peer.links.length > 0) return false;
    this.#peers.delete(incarnation);
    return true;
  }

  /** @param incarnation - the peer. @returns the link that messages are sent on, if any */
  findLink(incarnation: string): PeerLink | undefined {
    return this.#peers.get(incarnation)?.links[0];
  }

  /** @param incarnation - the peer. @returns all links to it */
  listLinks(incarnation: string): readonly PeerLink[] {
    return [...(this.#peers.get(incarnation)?.links ?? [])];
  }

  /** @returns identities of all linked peers */
  listIdentities(): readonly EntryHostIdentity[] {
    return [...this.#peers.values()].map(({ identity }) => identity);
  }

  /** @param url - URL of a peer. @returns whether a link to it exists */
  hasUrl(url: string): boolean {
    return [...this.#peers.values()].some(
      ({ identity, links }) =>
        identity.peerUrl === url || links.some((link) => link.dialledUrl === url),
    );
  }

  /**
   * Accepts a message if its sequence number exceeds all previous ones of the sender. The sender
   * switches to another link when its oldest ends; messages still in flight on the old link could
   * then arrive after newer ones, and handling them would break the order.
   *
   * @param incarnation - the sender
   * @param sequence - sequence number of the message
   * @returns whether the message may be handled
   */
  acceptSequence(incarnation: string, sequence: number): boolean {
    const peer = this.#peers.get(incarnation);
    if (!peer || sequence <= peer.lastSequence) return false;
    peer.lastSequence = sequence;
    return true;
  }
}
