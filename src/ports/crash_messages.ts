/**
 * Defines messages between entry hosts about requests during which backend servers crashed.
 *
 * @module
 */
import type { CrashNote } from '../domain/crashes/mod.js';
import type { PeerMessageType } from './peer_message_type.js';

/** Purpose of a crash update. */
export enum CrashUpdateKind {
  /** Reports new events as they happen. */
  News = 'news',
  /** Contains only the hash over all crash notes that the sender knows. */
  Digest = 'digest',
  /** Replies to a digest that differs with the sender's notes and requests the receiver's. */
  Offer = 'offer',
  /** Replies to an offer with the crash notes that the sender knows. */
  Answer = 'answer',
}

/** Exchanges crash notes, which name requests during which backend servers crashed. */
export interface CrashUpdateMessage {
  readonly type: PeerMessageType.CrashUpdate;
  readonly kind: CrashUpdateKind;
  /** Hash over all crash notes that the sender knows; empty in {@link CrashUpdateKind.News}. */
  readonly digest: string;
  readonly notes: readonly CrashNote[];
}
