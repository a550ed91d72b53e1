/**
 * The links that lead to each incarnation.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { PeerLink } from './_peer_link.js';

interface Peer {
  readonly identity: EntryHostIdentity;
  /** Oldest first; messages go on the oldest. */
  readonly links: PeerLink[];
  /** Number of the newest message that was taken from it. */
  lastSequence: number;
}

/** Keeps authenticated links by incarnation. */
export class LinkTable {
  readonly #peers = new Map<string, Peer>();

  /** @param identity - who is at the other end. @param link - the link. @returns whether it is the first */
  add(identity: EntryHostIdentity, link: PeerLink): boolean {
    const peer = this.#peers.get(identity.incarnation);
    peer?.links.push(link);
    if (peer) return false;
    this.#peers.set(identity.incarnation, { identity, links: [link], lastSequence: 0 });
    return true;
  }

  /** @param incarnation - whose link. @param link - the link. @returns whether it was the last */
  remove(incarnation: string, link: PeerLink): boolean {
    const peer = this.#peers.get(incarnation);
    const index = peer?.links.indexOf(link) ?? -1;
    if (!peer || index < 0) return false;
    peer.links.splice(index, 1);
    if (peer.links.length > 0) return false;
    this.#peers.delete(incarnation);
    return true;
  }

  /** @param incarnation - whose. @returns the link that messages go on */
  findLink(incarnation: string): PeerLink | undefined {
    return this.#peers.get(incarnation)?.links[0];
  }

  /** @param incarnation - whose. @returns all links to it */
  listLinks(incarnation: string): readonly PeerLink[] {
    return [...(this.#peers.get(incarnation)?.links ?? [])];
  }

  /** @returns who is linked */
  listIdentities(): readonly EntryHostIdentity[] {
    return [...this.#peers.values()].map(({ identity }) => identity);
  }

  /** @param url - a peer's URL. @returns whether a link leads there */
  hasUrl(url: string): boolean {
    return [...this.#peers.values()].some(
      ({ identity, links }) =>
        identity.peerUrl === url || links.some((link) => link.dialledUrl === url),
    );
  }

  /**
   * Takes a message's number. The sender changes to another link when the oldest
   * goes; what is still under way on the old one would then arrive after newer
   * messages, so numbers that do not rise are refused.
   *
   * @param incarnation - the sender
   * @param sequence - the number
   * @returns whether the message may be handled
   */
  acceptSequence(incarnation: string, sequence: number): boolean {
    const peer = this.#peers.get(incarnation);
    if (!peer || sequence <= peer.lastSequence) return false;
    peer.lastSequence = sequence;
    return true;
  }
}
