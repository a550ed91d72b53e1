/**
 * Defines the authenticated links between entry hosts.
 *
 * @module
 */
import type { EntryHostIdentity } from '../domain/membership/types.js';
import type { PeerMessageType } from './peer_message_type.js';
import type { PeerMessage } from './peer_messages.js';

/** The message of one type. */
export type PeerMessageOf<T extends PeerMessageType> = Extract<PeerMessage, { type: T }>;

/** Handles messages of one type; `from` is the sender, authenticated by the link. */
export type PeerMessageHandler<T extends PeerMessageType> = (
  from: EntryHostIdentity,
  message: PeerMessageOf<T>,
) => void;

/** A change of the links to one incarnation of a peer. */
export interface LinkEvent {
  readonly peer: EntryHostIdentity;
  /** True if the first link to this incarnation was opened, false if the last was closed. */
  readonly up: boolean;
  /** Whether this end closed the last link since nothing arrived on it; the peer may live on. */
  readonly wasSilent?: boolean | undefined;
}

/**
 * Authenticated links to other entry hosts. Messages to one incarnation are delivered
 * in order and at most once.
 */
export abstract class PeerNetwork {
  /**
   * Sets the peers to keep links to.
   *
   * @param peerUrls - peer URLs from the host list and from peers
   */
  abstract setPeerUrls(peerUrls: readonly string[]): void;

  /**
   * Sends one message.
   *
   * @param incarnation - the receiving incarnation
   * @param message - the message
   * @returns false if there is no link to the incarnation, in which case nothing was sent
   */
  abstract send(incarnation: string, message: PeerMessage): boolean;

  /**
   * Registers the handler of one message type. Each type has one handler.
   *
   * @param type - the message type
   * @param handler - called for each message, in order
   */
  abstract handle<T extends PeerMessageType>(type: T, handler: PeerMessageHandler<T>): void;

  /** @param handler - called when the first link to an incarnation opens or its last closes */
  abstract onLinkChange(handler: (event: LinkEvent) => void): void;

  /** @returns the identities of peers that a link is open to */
  abstract listLinkedPeers(): readonly EntryHostIdentity[];

  /** Replaces a silent link. @param incarnation - the peer at its other end */
  abstract replaceLink(incarnation: string): void;

  /** Closes a link that neither end uses. @param incarnation - the peer at its other end */
  abstract dropLink(incarnation: string): void;

  /** Closes all links. @returns a promise that resolves when they are closed */
  abstract close(): Promise<void>;
}
